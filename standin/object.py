"""The rules of the stand-in's objects: versions, conditions and lag."""

from standin.history import History


class Entry:
    """One version of a named object; a deleted one has no value.

    `written_at` is in seconds of the store's clock.
    """

    __slots__ = (
        "name",
        "version",
        "value",
        "write_id",
        "written_at",
        "is_deleted",
    )

    def __init__(
        self,
        name: str,
        version: int,
        value=None,
        write_id: str = "",
        written_at: float = 0.0,
        is_deleted: bool = False,
    ):
        self.name = name
        self.version = version
        self.value = value
        self.write_id = write_id
        self.written_at = written_at
        self.is_deleted = is_deleted

    @property
    def exists(self) -> bool:
        """Return whether this version holds a value."""
        return self.version > 0 and not self.is_deleted


class ConditionError(Exception):
    """A write expected another version than the current one."""

    def __init__(self, current: Entry):
        super().__init__(f"{current.name}: version is {current.version}")
        self.current = current


class ObjectTable:
    """All objects with their recent versions, as one writer sees them.

    A deletion takes a version of its own, so that no version of a name is
    ever given twice and a write that arrives late can't match.
    """

    __slots__ = ("_histories",)

    def __init__(self):
        self._histories: dict[str, History] = {}

    def get(self, name: str, moment: float | None = None) -> Entry:
        """Return the entry of `name`, as it was at `moment` if given."""
        history = self._histories.get(name)
        if history is None:
            return Entry(name, 0)
        if moment is None:
            return history.current
        return history.get(moment)

    def put(
        self, name: str, value, expected: int, write_id: str, now: float
    ) -> Entry:
        """Write the next version, or raise `ConditionError`."""
        current = self._check(name, expected)
        version = current.version + 1
        return self._record(Entry(name, version, value, write_id, now), now)

    def delete(
        self, name: str, expected: int, write_id: str, now: float
    ) -> Entry:
        """Delete the object, or raise `ConditionError`."""
        current = self._check(name, expected)
        if not current.exists:
            raise ConditionError(current)
        version = current.version + 1
        entry = Entry(name, version, None, write_id, now, is_deleted=True)
        return self._record(entry, now)

    def list(self, prefix: str, moment: float) -> list[Entry]:
        """Return the objects below `prefix` as they were at `moment`."""
        entries = [
            history.get(moment)
            for name, history in sorted(self._histories.items())
            if name.startswith(prefix)
        ]
        return [entry for entry in entries if entry.exists]

    def _check(self, name: str, expected: int) -> Entry:
        current = self.get(name)
        if current.version != expected:
            raise ConditionError(current)
        return current

    def _record(self, entry: Entry, now: float) -> Entry:
        history = self._histories.get(entry.name)
        if history is None:
            absent = Entry(entry.name, 0)
            history = History(float("-inf"), absent)
            self._histories[entry.name] = history
        history.record(now, entry)
        return entry
