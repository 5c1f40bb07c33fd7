"""Releases announced by owners, until the roster reflects them."""

from collections.abc import Iterable

from radishstile.fleet.roster import OwnerEntry, Roster
from radishstile.fleet.statement import Release


class Releases:
    """Releases that the roster does not reflect yet, oldest first."""

    __slots__ = ("_pending",)

    def __init__(self):
        self._pending: dict[Release, None] = {}

    def add(self, resource: str, entry: OwnerEntry) -> None:
        """Record that the owner in `entry` releases `resource`."""
        release = Release(*entry.identity, resource, entry.epoch)
        self._pending[release] = None

    def merge(self, releases: Iterable[Release], roster: Roster) -> None:
        """Add the releases that `roster` does not reflect yet."""
        for release in releases:
            entry = roster.owners.get(release.resource)
            is_later = release.epoch > roster.version
            if is_later or (entry and entry.matches(release)):
                self._pending[release] = None

    def drop_applied(self, roster: Roster) -> None:
        """Drop the releases that a newer roster reflects."""
        releases = self._pending
        self._pending = {}
        self.merge(releases, roster)

    def has_release(self, resource: str, entry: OwnerEntry) -> bool:
        """Return whether the owner in `entry` released `resource`."""
        release = Release(*entry.identity, resource, entry.epoch)
        return release in self._pending

    def list_all(self) -> list[Release]:
        """Return the releases, oldest first."""
        return list(self._pending)
