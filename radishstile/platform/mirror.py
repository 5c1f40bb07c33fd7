"""A host's copy of one kind of stored objects, which other hosts can watch."""

import asyncio
from collections import deque
from functools import singledispatchmethod
from typing import Any

from radishstile.configuration.merge import make_merge_patch, merge
from radishstile.errors import HistoryLostError
from radishstile.platform.retention import Retention
from radishstile.platform.revision import Revision
from radishstile.platform.stored_objects import (
    Change,
    Changes,
    Listing,
    Patch,
    PlatformObject,
)

# Changes kept for hosts that watch this mirror. A release of all upstreams of
# a large deployment makes several hundred.
HISTORY_LIMIT_CHANGES = 512


class RevisedChange:
    """A change and the revision at which the store reported it."""

    __slots__ = ("revision", "change")

    def __init__(self, revision: Revision, change: Change | Patch):
        self.revision = revision
        self.change = change


class Mirror:
    """The objects of one kind as of `revision`, which is None at first.

    It can be listed and watched as the store can, so hosts can use either.
    Changes after `_history_start` are kept, as patches where possible: a new
    version of a large configuration is sent to each host, and differs little
    from the last. A watcher that is behind, or that has another version than
    a patch is made from, must list all objects again.

    Objects that `retention` keeps have revisions of former eras, also in the
    list for other hosts.
    """

    __slots__ = (
        "kind",
        "revision",
        "retention",
        "_objects",
        "_history",
        "_history_start",
        "_changed",
    )

    def __init__(self, kind: str):
        self.kind = kind
        self.revision: Revision | None = None
        self.retention = Retention(kind)
        self._objects: dict[str, PlatformObject] = {}
        self._history: deque[RevisedChange] = deque()
        self._history_start = Revision(0)
        self._changed = asyncio.Event()

    def replace(self, listing: Listing) -> bool:
        """Apply a complete list; return False if it is an older one.

        Watchers get what it changes, so that a host that has to list again
        does not make all that watch it do the same.
        """
        if self.revision is None:
            self._objects = {stored.name: stored for stored in listing.objects}
            self._history_start = listing.revision
            self._set_revision(listing.revision)
            if self.list_retained():
                self._begin_era()
            return True
        if listing.revision < self.revision:
            return False
        self._observe_era(listing.revision)
        listed = {stored.name for stored in listing.objects}
        for known in list(self._objects.values()):
            if known.name not in listed and not self.retention.retains_missing(
                known, listing.revision.era
            ):
                self._put(Change(known, True), listing.revision)
        for stored in listing.objects:
            change = Change(stored, False)
            if self._is_new(change):
                self._put(change, listing.revision)
        self._set_revision(listing.revision)
        return True

    def apply(self, changes: Changes) -> list[Change]:
        """Apply changes and return the new ones, complete.

        Raises `HistoryLostError` if a patch is made from another version.
        """
        revision = max(changes.revision, self.revision)
        self._observe_era(revision)
        new = []
        for received in changes.changes:
            change = self._complete(received)
            if self._is_new(change):
                self._put(change, revision)
                new.append(change)
        if revision > self.revision:
            self._set_revision(revision)
        return new

    @singledispatchmethod
    def _complete(self, received) -> Change:
        """Return the complete change for one that was received."""
        raise TypeError(type(received).__name__)

    @_complete.register
    def _(self, received: Change) -> Change:
        return received

    @_complete.register
    def _(self, received: Patch) -> Change:
        known = self._objects.get(received.name)
        if known is not None and known.revision >= received.revision:
            return Change(known, False)
        if known is None or known.revision != received.base_revision:
            raise HistoryLostError(
                f"{self.kind}: {received.name} is not at revision "
                f"{received.base_revision}"
            )
        stored = PlatformObject(
            received.name,
            received.revision,
            False,
            _apply_patch(known.spec, received.spec),
            _apply_patch(known.status, received.status),
        )
        return Change(stored, False)

    def _put(self, change: Change, revision: Revision) -> None:
        """Apply a new change and append it to the history."""
        name = change.object.name
        if change.is_removed:
            self.retention.record_removal(self._objects.pop(name))
            self._append_history(RevisedChange(revision, change))
            return
        patch = _make_patch(self._objects.get(name), change.object)
        self._objects[name] = change.object
        self._append_history(RevisedChange(revision, patch or change))

    def list_retained(self) -> list[PlatformObject]:
        """Return the objects that the store lacks or has in older versions."""
        era = 0 if self.revision is None else self.revision.era
        return [s for s in self._objects.values() if s.revision.era < era]

    def list_all(self) -> Listing:
        """Return all objects; raises `HistoryLostError` if not listed yet."""
        if self.revision is None:
            raise HistoryLostError(f"{self.kind}: not listed yet")
        return Listing(list(self._objects.values()), self.revision)

    async def watch(self, revision: Revision, wait_s: float) -> Changes:
        """Return the changes after `revision`, waiting up to `wait_s` seconds.

        Raises `HistoryLostError` if they are no longer kept.
        """
        try:
            async with asyncio.timeout(wait_s):
                while self.revision is None or self.revision <= revision:
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return Changes([], revision)
        return self._collect_changes(revision)

    def _collect_changes(self, revision: Revision) -> Changes:
        if revision < self._history_start:
            raise HistoryLostError(f"{self.kind}: changes are no longer kept")
        changes = [
            revised.change
            for revised in self._history
            if revised.revision > revision
        ]
        return Changes(changes, self.revision)

    def _append_history(self, revised: RevisedChange) -> None:
        self._history.append(revised)
        if len(self._history) > HISTORY_LIMIT_CHANGES:
            self._history_start = self._history.popleft().revision

    def _is_new(self, change: Change) -> bool:
        known = self._objects.get(change.object.name)
        if known is None:
            return not (
                change.is_removed or self.retention.was_removed(change.object)
            )
        if change.is_removed:
            return change.object.revision >= known.revision
        if change.object.revision <= known.revision:
            return False
        return not self.retention.prefers_known(known, change.object)

    def _observe_era(self, revision: Revision) -> None:
        """Retain what is known if the store was restored."""
        if revision.era > self.revision.era:
            self._begin_era()

    def _begin_era(self) -> None:
        self.retention.begin_era(asyncio.get_running_loop().time())

    def _set_revision(self, revision: Revision) -> None:
        self.revision = revision
        self._changed.set()


def _make_patch(
    known: PlatformObject | None, changed: PlatformObject
) -> Patch | None:
    """Return the patch from a version to the next, None if there is none."""
    if known is None:
        return None
    spec = _diff(known.spec, changed.spec)
    status = _diff(known.status, changed.status)
    if spec is None or status is None:
        return None
    return Patch(changed.name, changed.revision, known.revision, spec, status)


def _diff(old: Any, new: Any) -> dict | None:
    """Return the merge patch, empty for no change, None if there is none."""
    if old is None and new is None:
        return {}
    return make_merge_patch(old, new)


def _apply_patch(value: Any, patch: dict) -> Any:
    return merge(value, patch) if patch else value
