"""The port through which journals reach the platform's store."""

from typing import Protocol


class StoredObject(Protocol):
    """One version of an object, as the store returned it."""

    name: str
    version: int
    value: object
    write_id: str


class Store(Protocol):
    """Reads and conditional updates of the platform's object API."""

    async def read(self, name: str) -> StoredObject | None:
        """Return the current object, or None where there is none.

        Raises `StoreUnavailableError`.
        """

    async def update(
        self,
        name: str,
        value: object,
        expected_version: int,
        contains: object = None,
    ) -> int:
        """Replace version `expected_version` (0 creates); return the new one.

        Raises `VersionConflictError`, `StoreUnavailableError` (nothing was
        written) or `WriteDoubtError` (it may have been, now or later).
        """
