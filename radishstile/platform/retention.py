"""Decides what stays in force when the store is restored from a backup.

The backup is some seconds old: it lacks the latest writes and holds what they
had replaced or removed. Their writers write them again, and until then a host
does not go back behind what it has already acted on.
"""

import math
from collections.abc import Callable
from typing import Any

from radishstile.platform.configuration import (
    CONFIGURATION_KIND,
    read_version,
)
from radishstile.platform.registrations import (
    EVACUATION_KIND,
    HOST_KIND,
    UPSTREAM_KIND,
    rank_upstream,
)
from radishstile.platform.stored_objects import PlatformObject

# Removed objects that are remembered.
REMOVED_LIMIT = 4096
# How long upstreams are kept that the restored store lacks, in seconds: they
# register again within 2 s of its return.
UPSTREAM_MISSING_S = 2.5
# How long removed upstreams are left out that the restored store still has, in
# seconds: it expires them after some heartbeats.
UPSTREAM_REMOVED_S = 10.0
# How long evacuations are kept that the restored store lacks, in seconds.
EVACUATION_MISSING_S = 10.0
# The same for entry hosts, which register again within 3 s.
HOST_MISSING_S = 5.0


class RetentionRule:
    """How long objects of a kind are retained, in seconds.

    `rank` returns what orders the versions of an object, or None if that can't
    be read. Without it the version that the store has counts.
    """

    __slots__ = ("missing_s", "removed_s", "rank")

    def __init__(
        self,
        missing_s: float = 0.0,
        removed_s: float = 0.0,
        rank: Callable[[PlatformObject], Any] | None = None,
    ):
        self.missing_s = missing_s
        self.removed_s = removed_s
        self.rank = rank


class Retention:
    """The retained objects of one kind; times are of the loop's clock.

    An object of a former era is retained for a time while it is missing from
    the store, and for as long as the store has an older version of it. A
    removed object stays removed for a time.
    """

    __slots__ = ("_rule", "_missing_until", "_removed_until", "_removed")

    def __init__(self, kind: str):
        self._rule = _RULES.get(kind, RetentionRule())
        # None while nothing is retained.
        self._missing_until: float | None = None
        self._removed_until: float | None = None
        self._removed: dict[str, PlatformObject] = {}

    def begin_era(self, now: float) -> None:
        """Retain objects of former eras from now on."""
        self._missing_until = now + self._rule.missing_s
        if self._rule.removed_s:
            self._removed_until = now + self._rule.removed_s

    def is_due(self, now: float) -> bool:
        """Return whether the kind must be listed to drop what is retained."""
        return _has_passed(self._missing_until, now) or _has_passed(
            self._removed_until, now
        )

    def end_due(self, now: float) -> None:
        """Retain no longer what has been retained for its time."""
        if _has_passed(self._missing_until, now):
            self._missing_until = None
        if _has_passed(self._removed_until, now):
            self._removed_until = None

    def record_removal(self, removed: PlatformObject) -> None:
        """Remember the last version of a removed object."""
        self._removed.pop(removed.name, None)
        self._removed[removed.name] = removed
        if len(self._removed) > REMOVED_LIMIT:
            del self._removed[next(iter(self._removed))]

    def retains_missing(self, known: PlatformObject, era: int) -> bool:
        """Return whether an object stays that the list of `era` lacks."""
        return self._missing_until is not None and known.revision.era < era

    def prefers_known(
        self, known: PlatformObject, stored: PlatformObject
    ) -> bool:
        """Return whether `stored` is an older version from a backup."""
        if stored.revision.era <= known.revision.era:
            return False
        ranks = self._rank_both(known, stored)
        return ranks is not None and ranks[1] < ranks[0]

    def was_removed(self, stored: PlatformObject) -> bool:
        """Return whether `stored` is a removed object from a backup."""
        removed = self._removed.get(stored.name)
        if removed is None or self._removed_until is None:
            return False
        if stored.revision.era <= removed.revision.era:
            return False
        if stored.revision.number > removed.revision.number:
            return False
        ranks = self._rank_both(removed, stored)
        return ranks is not None and ranks[1] <= ranks[0]

    def _rank_both(
        self, known: PlatformObject, stored: PlatformObject
    ) -> tuple[Any, Any] | None:
        """Return the ranks of both, None if they can't be compared."""
        if self._rule.rank is None:
            return None
        ranks = self._rule.rank(known), self._rule.rank(stored)
        return None if None in ranks else ranks


def _has_passed(until: float | None, now: float) -> bool:
    return until is not None and now >= until


_RULES = {
    # A configuration is never removed, and its versions only rise.
    CONFIGURATION_KIND: RetentionRule(
        math.inf, rank=lambda stored: read_version(stored.spec)
    ),
    UPSTREAM_KIND: RetentionRule(
        UPSTREAM_MISSING_S, UPSTREAM_REMOVED_S, rank_upstream
    ),
    EVACUATION_KIND: RetentionRule(EVACUATION_MISSING_S),
    HOST_KIND: RetentionRule(HOST_MISSING_S),
}
