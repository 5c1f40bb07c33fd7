"""Saves what a region's leader has learned, for the next one."""

import asyncio
import logging

from radishstile.entry.admission import AdmissionController
from radishstile.entry.leadership import Leadership
from radishstile.entry.logs import log_fields
from radishstile.entry.node import EntryNode, read_clock
from radishstile.errors import PlatformError
from radishstile.fleet.leadership import FRESH_MAX_AGE_S
from radishstile.platform.registrations import MalformedEntryError
from radishstile.platform.scheduler_records import (
    SCHEDULER_KIND,
    decode_scheduler,
    encode_scheduler,
)

_LOG = logging.getLogger("radishstile.recorder")

# Interval at which a leader saves changed records, in seconds.
SAVE_INTERVAL_S = 5.0
# Share of the region's hosts that follow a leader that saves records: others
# know little of what runs where.
SAVE_MIN_SHARE = 0.5
# Time after which a host that is not the first of its region is taken for its
# leader, in seconds. When all hosts start, each leads itself until it reaches
# the first.
SETTLE_S = 0.4


class SchedulerRecorder:
    """Saves the record of a leader's scheduler, and restores it for the next.

    A scheduler that does not know which upstreams have cached an object runs
    it cold elsewhere, three times as long, and one that does not know the
    region's demand borrows the wrong number of slots. After a restart of all
    hosts, their callers come back at once, and only the store has the record.
    """

    __slots__ = ("_node", "_leadership", "_admission", "_saved", "_saved_era")

    def __init__(
        self,
        node: EntryNode,
        leadership: Leadership,
        admission: AdmissionController,
    ):
        self._node = node
        self._leadership = leadership
        self._admission = admission
        # The objects that were cached when this host saved a record last.
        self._saved: set[tuple[str, str]] = set()
        # The store's era in which it was saved.
        self._saved_era = 0

    async def run(self) -> None:
        """Restore the record each time this host leads, and save it then."""
        while True:
            # Until the hosts are known, each one leads itself.
            is_known = self._node.hosts.is_loaded
            if not is_known or not self._leadership.is_leading:
                await self._leadership.wait_change()
            elif not self._is_settled():
                await asyncio.sleep(SETTLE_S)
            else:
                await self._keep_record()

    def _is_settled(self) -> bool:
        led_s = read_clock() - self._leadership.followed_at
        return self._node.hosts.is_local_first() or led_s >= SETTLE_S

    async def _keep_record(self) -> None:
        """Restore the record, and save changed ones while this host leads."""
        is_restored = False
        while self._leadership.is_leading:
            try:
                if not is_restored:
                    await self._restore()
                    is_restored = True
                elif self._may_save():
                    await self._save()
            except PlatformError as error:
                _LOG.warning("recorder: Record not kept: %s", error)
            await asyncio.sleep(SAVE_INTERVAL_S)

    async def _restore(self) -> None:
        """Restore the record that the previous leader has saved."""
        region = self._node.local_member.region
        stored = await self._node.store.read(SCHEDULER_KIND, region)
        if stored is None:
            return
        try:
            record = decode_scheduler(stored)
        except MalformedEntryError as error:
            self._node.metrics.malformed_entries.inc({"kind": SCHEDULER_KIND})
            _LOG.warning("recorder: Malformed record ignored: %s", error)
            return
        self._admission.scheduler.restore(record)
        _LOG.info(
            "recorder: Record restored.",
            extra=log_fields(
                revision=stored.revision.number,
                upstreams=len(record.caches),
                objects=len(record.list_cached()),
            ),
        )

    def _may_save(self) -> bool:
        if self._admission.scheduler.share < SAVE_MIN_SHARE:
            return False
        return self._node.measure_store_answer_age() <= FRESH_MAX_AGE_S

    async def _save(self) -> None:
        """Save the record if other objects are cached than last time."""
        record = self._admission.scheduler.make_record()
        cached = record.list_cached()
        era = self._node.era
        if cached == self._saved and era == self._saved_era:
            return
        region = self._node.local_member.region
        spec = encode_scheduler(record)
        await self._node.store.put(SCHEDULER_KIND, region, spec)
        self._saved = cached
        self._saved_era = era
