"""Stores the configuration's revisions in the platform's object store.

The object `configuration` holds the newest revision. Each older revision
is in `history/N`, written before the next one, so that no entry is lost.
"""

from datetime import UTC, datetime
from typing import Protocol

from radishstile.configuration.document import Configuration
from radishstile.configuration.patch import apply_patch, parse_patch
from radishstile.configuration.revision import HistoryEntry, Revision
from radishstile.errors import (
    ConfigurationError,
    StaleVersionError,
    VersionConflictError,
)

OBJECT_NAME = "configuration"
EMPTY_VERSION = 0


class ObjectStore(Protocol):
    """The operations of the store client that are used here."""

    async def read(self, name: str):
        """Return the stored object, or None if there is none."""

    async def update(self, name: str, value, expected_version: int) -> int:
        """Write if the version is as expected; return the new version."""


class PatchCheck(Protocol):
    """An additional check of a new configuration."""

    def __call__(self, old: Configuration, new: Configuration) -> None:
        """Raise `ConfigurationError` if `new` is not acceptable."""


class ConfigurationStore:
    """Reads revisions and adds new ones with conditional updates."""

    __slots__ = ("_store",)

    def __init__(self, store: ObjectStore):
        self._store = store

    async def read_current(self) -> Revision:
        """Return the newest revision; version 0 has an empty document."""
        revision, _ = await self._read()
        return revision

    async def read_version(self, version: int) -> Revision:
        """Return the revision of a version."""
        current, _ = await self._read()
        if version == current.version:
            return current
        stored = await self._store.read(f"history/{version}")
        if stored is None:
            raise ConfigurationError(f"no version {version} in the history")
        return Revision.from_record(stored.value)

    async def list_entries(
        self, after_version: int, limit: int
    ) -> list[HistoryEntry]:
        """Return up to `limit` entries after a version, newest first."""
        current, _ = await self._read()
        entries = [current.entry] if current.version > after_version else []
        version = current.version - 1
        while version > after_version and len(entries) < limit:
            entries.append((await self.read_version(version)).entry)
            version -= 1
        return entries

    async def submit(
        self,
        base_version: int,
        body: object,
        operator: str,
        check: PatchCheck,
    ) -> Revision:
        """Apply the patch in `body` to `base_version`; store the result.

        Raises `StaleVersionError` if another version is current,
        `ConfigurationError` if the patch or the result is not valid, and
        `PlatformError` if the store did not accept the write.
        """
        patch = parse_patch(body)
        current, stored_version = await self._read()
        if base_version != current.version:
            raise StaleVersionError(base_version, current.version)
        document = apply_patch(patch, current.document)
        old = Configuration(current.version, current.document)
        new = Configuration(current.version + 1, document)
        check(old, new)
        revision = _make_revision(new, operator, current.version, body)
        await self._archive(current)
        await self._write(revision, stored_version)
        return revision

    async def _read(self) -> tuple[Revision, int]:
        stored = await self._store.read(OBJECT_NAME)
        if stored is None:
            entry = HistoryEntry(EMPTY_VERSION, "", "", EMPTY_VERSION, {})
            return Revision(entry, {}), 0
        return Revision.from_record(stored.value), stored.version

    async def _archive(self, revision: Revision) -> None:
        if revision.version == EMPTY_VERSION:
            return
        name = f"history/{revision.version}"
        try:
            await self._store.update(name, revision.to_record(), 0)
        except VersionConflictError:
            # Another operator's patch has already archived this revision.
            return

    async def _write(self, revision: Revision, stored_version: int) -> None:
        try:
            await self._store.update(
                OBJECT_NAME, revision.to_record(), stored_version
            )
        except VersionConflictError as error:
            current, _ = await self._read()
            stated = revision.entry.from_version
            raise StaleVersionError(stated, current.version) from error


def _make_revision(
    new: Configuration, operator: str, from_version: int, body: object
) -> Revision:
    made_at = datetime.now(UTC).isoformat(timespec="milliseconds")
    entry = HistoryEntry(new.version, operator, made_at, from_version, body)
    return Revision(entry, new.document)
