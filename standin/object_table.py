"""Versioned objects of the stand-in store, with conditional writes."""

from standin.history import History


class ObjectVersion:
    """A version of a named object; a deletion has no value.

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
        """Return whether the object exists in this version."""
        return self.version > 0 and not self.is_deleted


class VersionMismatchError(Exception):
    """The expected version of a write is not the current one."""

    def __init__(self, current: ObjectVersion):
        super().__init__(f"{current.name}: version is {current.version}")
        self.current = current


class ObjectTable:
    """All objects with their recent versions.

    A deletion is a version too. No version number of a name is used twice,
    so a delayed write can't match.
    """

    __slots__ = ("_histories",)

    def __init__(self):
        self._histories: dict[str, History] = {}

    def get(self, name: str, at: float | None = None) -> ObjectVersion:
        """Return the current version of `name`, or the one at time `at`."""
        history = self._histories.get(name)
        if history is None:
            return ObjectVersion(name, 0)
        if at is None:
            return history.current
        return history.get(at)

    def put(
        self,
        name: str,
        value,
        expected_version: int,
        write_id: str,
        now: float,
    ) -> ObjectVersion:
        """Write the next version, or raise `VersionMismatchError`."""
        current = self._check_version(name, expected_version)
        version = current.version + 1
        return self._append(
            ObjectVersion(name, version, value, write_id, now), now
        )

    def delete(
        self, name: str, expected_version: int, write_id: str, now: float
    ) -> ObjectVersion:
        """Delete the object, or raise `VersionMismatchError`."""
        current = self._check_version(name, expected_version)
        if not current.exists:
            raise VersionMismatchError(current)
        version = current.version + 1
        object_version = ObjectVersion(
            name, version, None, write_id, now, is_deleted=True
        )
        return self._append(object_version, now)

    def list(self, prefix: str, at: float) -> list[ObjectVersion]:
        """Return the objects whose names start with `prefix` at time `at`."""
        versions = [
            history.get(at)
            for name, history in sorted(self._histories.items())
            if name.startswith(prefix)
        ]
        return [
            object_version
            for object_version in versions
            if object_version.exists
        ]

    def _check_version(
        self, name: str, expected_version: int
    ) -> ObjectVersion:
        current = self.get(name)
        if current.version != expected_version:
            raise VersionMismatchError(current)
        return current

    def _append(self, new_version: ObjectVersion, now: float) -> ObjectVersion:
        history = self._histories.get(new_version.name)
        if history is None:
            absent = ObjectVersion(new_version.name, 0)
            history = History(float("-inf"), absent)
            self._histories[new_version.name] = history
        history.record(now, new_version)
        return new_version
