"""What homes have said that they gave up, until the roster follows."""

from collections.abc import Iterable

from radishstile.fleet.roster import HomeEntry, Roster
from radishstile.fleet.statement import Release


class Releases:
    """Releases that the roster does not show yet, the oldest first."""

    __slots__ = ("_kept",)

    def __init__(self):
        self._kept: dict[Release, None] = {}

    def add(self, resource: str, entry: HomeEntry) -> None:
        """Record that the home of `entry` gives up `resource`."""
        release = Release(*entry.identity, resource, entry.epoch)
        self._kept[release] = None

    def keep(self, releases: Iterable[Release], roster: Roster) -> None:
        """Record the releases that are news to `roster`."""
        for release in releases:
            entry = roster.homes.get(release.resource)
            is_later = release.epoch > roster.version
            if is_later or (entry and entry.matches(release)):
                self._kept[release] = None

    def follow(self, roster: Roster) -> None:
        """Forget the releases that a newer roster has taken in."""
        kept = self._kept
        self._kept = {}
        self.keep(kept, roster)

    def covers(self, resource: str, entry: HomeEntry) -> bool:
        """Return whether the home of `entry` gave up `resource`."""
        release = Release(*entry.identity, resource, entry.epoch)
        return release in self._kept

    def list_all(self) -> list[Release]:
        """Return the releases, the oldest first."""
        return list(self._kept)
