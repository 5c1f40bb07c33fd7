"""Interface of the platform's store, as journals use it."""

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
        """Return the current object, or None if it does not exist.

        Raises `StoreUnavailableError`.
        """

    async def update(
        self,
        name: str,
        value: object,
        expected_version: int,
        contains: object = None,
    ) -> int:
        """Replace version `expected_version`; return the new version.

        Version 0 creates the object. Raises `VersionConflictError`,
        `StoreUnavailableError` (nothing was written) or `WriteDoubtError`
        (the write may have taken effect, or may do so later).
        """
