"""Determines from the store's answers whether a write took effect.

All attempts of a write have the same write id and expected version. The store
applies at most one of them, since that changes the version.
"""

from collections.abc import Callable
from functools import singledispatch
from typing import Any

from radishstile.errors import (
    PlatformError,
    StoreUnavailableError,
    VersionConflictError,
    WriteDoubtError,
)
from radishstile.platform.answer import (
    Absent,
    AnswerLost,
    Conflict,
    Rejected,
    StoredObject,
    Written,
)


class PendingWrite:
    """A conditional write or deletion whose outcome is not known yet.

    `contains` returns whether a later value includes this write.
    """

    __slots__ = (
        "name",
        "value",
        "expected_version",
        "write_id",
        "is_deletion",
        "is_in_doubt",
        "contains",
        "detail",
    )

    def __init__(
        self,
        name: str,
        value: Any,
        expected: int,
        write_id: str,
        is_deletion: bool = False,
        contains: Callable[[Any], bool] | None = None,
    ):
        self.name = name
        self.value = value
        self.expected_version = expected
        self.write_id = write_id
        self.is_deletion = is_deletion
        self.is_in_doubt = False
        self.contains = contains
        self.detail = ""

    def make_error(self) -> PlatformError:
        """Return the error for a write that has no attempts left."""
        if self.is_in_doubt:
            return WriteDoubtError(f"{self.name}: {self.detail}")
        return StoreUnavailableError(f"{self.name}: {self.detail}")


@singledispatch
def resolve_write(answer: Any, write: PendingWrite) -> int | None:
    """Return the version that `write` created, or None if it needs a retry.

    Raises `VersionConflictError` if the write had no effect and never will,
    and `WriteDoubtError` if that can no longer be determined.
    """
    raise TypeError(f"not an answer to a write: {answer!r}")


@resolve_write.register
def _resolve_written(answer: Written, write: PendingWrite) -> int | None:
    return answer.version


@resolve_write.register
def _resolve_rejected(answer: Rejected, write: PendingWrite) -> int | None:
    write.detail = answer.detail
    return None


@resolve_write.register
def _resolve_answer_lost(
    answer: AnswerLost, write: PendingWrite
) -> int | None:
    write.detail = answer.detail
    write.is_in_doubt = True
    return None


@resolve_write.register
def _resolve_conflict(answer: Conflict, write: PendingWrite) -> int | None:
    if answer.write_id == write.write_id:
        return answer.version
    if write.is_in_doubt and answer.version > write.expected_version + 1:
        # An attempt may have been applied and overwritten; a read may show.
        write.detail = "overwritten since"
        return None
    if (
        answer.is_deleted
        and write.expected_version == 0
        and not write.is_deletion
    ):
        # Recreating a deleted object expects the version of its deletion.
        write.expected_version = answer.version
        return None
    raise VersionConflictError(
        write.name, write.expected_version, answer.version
    )


@resolve_write.register
def _resolve_read(answer: StoredObject, write: PendingWrite) -> int | None:
    if answer.version <= write.expected_version + 1:
        return _resolve_adjacent_version(answer, write)
    if answer.write_id == write.write_id:
        return answer.version
    if write.contains is None:
        raise WriteDoubtError(
            f"{write.name}: overwritten, so the write may have been applied"
        )
    if write.contains(answer.value):
        return write.expected_version + 1
    raise VersionConflictError(
        write.name, write.expected_version, answer.version
    )


@resolve_write.register
def _resolve_absent(answer: Absent, write: PendingWrite) -> int | None:
    if answer.version <= write.expected_version + 1:
        return _resolve_adjacent_version(answer, write)
    raise WriteDoubtError(
        f"{write.name}: deleted, so the write may have been applied"
    )


def _resolve_adjacent_version(
    answer: StoredObject | Absent, write: PendingWrite
) -> int | None:
    if answer.write_id == write.write_id:
        return answer.version
    if answer.version <= write.expected_version:
        # Not applied yet, or a stale read: the same write is sent again.
        return None
    raise VersionConflictError(
        write.name, write.expected_version, answer.version
    )
