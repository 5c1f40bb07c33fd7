"""Revisions of the configuration and entries of its history."""


class HistoryEntry:
    """The operator, time, base version and patch of a version.

    `made_at` is ISO 8601 in UTC; `patch` is the submitted body.
    """

    __slots__ = ("version", "operator", "made_at", "from_version", "patch")

    def __init__(
        self,
        version: int,
        operator: str,
        made_at: str,
        from_version: int,
        patch: dict | list,
    ):
        self.version = version
        self.operator = operator
        self.made_at = made_at
        self.from_version = from_version
        self.patch = patch

    def to_record(self) -> dict:
        """Return the entry as a JSON object."""
        return {name: getattr(self, name) for name in self.__slots__}

    @classmethod
    def from_record(cls, record: dict) -> "HistoryEntry":
        """Return the entry from a JSON object."""
        return cls(**{name: record[name] for name in cls.__slots__})


class Revision:
    """One version of the document with its history entry."""

    __slots__ = ("entry", "document")

    def __init__(self, entry: HistoryEntry, document: dict):
        self.entry = entry
        self.document = document

    @property
    def version(self) -> int:
        """Return the version number."""
        return self.entry.version

    def to_record(self) -> dict:
        """Return the revision as a JSON object."""
        return {"entry": self.entry.to_record(), "document": self.document}

    @classmethod
    def from_record(cls, record: dict) -> "Revision":
        """Return the revision from a JSON object."""
        entry = HistoryEntry.from_record(record["entry"])
        return cls(entry, record["document"])
