"""Decoded answers of the store."""

from enum import Enum
from typing import Any


class MachineState(Enum):
    """State of a machine in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class StoredObject:
    """One version of a named object; `value` is any JSON value."""

    __slots__ = ("name", "version", "value", "write_id")

    def __init__(self, name: str, version: int, value: Any, write_id: str):
        self.name = name
        self.version = version
        self.value = value
        self.write_id = write_id

    @property
    def found(self) -> "StoredObject | None":
        """Return this object; `Absent.found` is None."""
        return self

    def __repr__(self) -> str:
        return f"StoredObject({self.name}@{self.version})"


class Absent:
    """No object has the name; `version` is that of its deletion, or 0."""

    __slots__ = ("name", "version", "write_id")

    def __init__(self, name: str, version: int, write_id: str):
        self.name = name
        self.version = version
        self.write_id = write_id

    @property
    def found(self) -> StoredObject | None:
        """Return None; `StoredObject.found` is the object."""
        return None


class Written:
    """A write took effect and created `version`."""

    __slots__ = ("version",)

    def __init__(self, version: int):
        self.version = version


class Conflict:
    """The attempt had no effect: `write_id` had already made `version`."""

    __slots__ = ("version", "write_id", "is_deleted")

    def __init__(self, version: int, write_id: str, is_deleted: bool):
        self.version = version
        self.write_id = write_id
        self.is_deleted = is_deleted


class Rejected:
    """The call was not carried out and is safe to retry."""

    __slots__ = ("detail",)

    def __init__(self, detail: str):
        self.detail = detail


class AnswerLost:
    """The call was sent but not answered, so it may have taken effect."""

    __slots__ = ("detail",)

    def __init__(self, detail: str):
        self.detail = detail
