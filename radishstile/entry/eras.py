"""Observes the store's eras, and what a host retains from former ones."""

import logging
from collections.abc import Iterable

from radishstile.entry.logs import log_fields
from radishstile.entry.node import EntryNode, read_boottime_clock
from radishstile.platform.mirror import Mirror
from radishstile.platform.stored_objects import PlatformObject

_LOG = logging.getLogger("radishstile.replica")


class EraObserver:
    """Tells the host when the store was restored, and logs what it retains."""

    __slots__ = ("_node", "_eras", "_is_settling")

    def __init__(self, node: EntryNode, kinds: Iterable[str]):
        self._node = node
        # The era that each kind was read in last.
        self._eras = dict.fromkeys(kinds, 0)
        # Whether no watch was sent since the store's answers confirm again.
        self._is_settling = False

    def observe(self, mirror: Mirror) -> None:
        """Record the era that a mirror has just been read in."""
        era = mirror.revision.era
        if era <= self._eras[mirror.kind]:
            return
        self._eras[mirror.kind] = era
        if self._node.observe_era(era):
            self._is_settling = True
        retained = mirror.list_retained()
        self._node.metrics.count_retained(mirror.kind, "kept", len(retained))
        _LOG.info(
            "replica: Objects read in a new era.",
            extra=log_fields(
                kind=mirror.kind,
                era=era,
                retained=sorted(stored.name for stored in retained),
            ),
        )

    def record_list(
        self, mirror: Mirror, retained: list[PlatformObject]
    ) -> None:
        """Record what a list dropped or replaced of retained objects."""
        if not retained:
            return
        names = {stored.name for stored in mirror.list_all().objects}
        kept = {stored.name for stored in mirror.list_retained()}
        dropped = [s.name for s in retained if s.name not in names]
        renewed = [s.name for s in retained if s.name in names - kept]
        metrics = self._node.metrics
        metrics.count_retained(mirror.kind, "dropped", len(dropped))
        metrics.count_retained(mirror.kind, "written-again", len(renewed))
        _LOG.info(
            "replica: Retained objects checked.",
            extra=log_fields(
                kind=mirror.kind,
                dropped=sorted(dropped),
                written_again=sorted(renewed),
                retained=sorted(kept),
            ),
        )

    def choose_wait(self, watch_s: float) -> float:
        """Return a wait that lets the store confirm as soon as it can."""
        if not self._is_settling:
            return watch_s
        now = read_boottime_clock()
        settling_s = self._node.freshness.measure_settling(now)
        if settling_s > 0:
            return min(watch_s, settling_s)
        self._is_settling = False
        return 0.0
