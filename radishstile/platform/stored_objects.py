"""Stored objects, and lists and changes of them."""

from typing import Any

from radishstile.platform.revision import Revision


class PlatformObject:
    """One version of a stored object.

    `revision` is the store's revision at its last change. With `is_deleting`
    the object is removed once its finalizers are gone.
    """

    __slots__ = ("name", "revision", "is_deleting", "spec", "status")

    def __init__(
        self,
        name: str,
        revision: Revision,
        is_ending: bool,
        spec: Any,
        status: Any,
    ):
        self.name = name
        self.revision = revision
        self.is_deleting = is_ending
        self.spec = spec
        self.status = status


class Listing:
    """All objects of a kind and the revision to watch from."""

    __slots__ = ("objects", "revision")

    def __init__(self, objects: list[PlatformObject], revision: Revision):
        self.objects = objects
        self.revision = revision


class Change:
    """An object that was written or, where `is_removed`, removed."""

    __slots__ = ("object", "is_removed")

    def __init__(self, changed: PlatformObject, is_removed: bool):
        self.object = changed
        self.is_removed = is_removed


class Patch:
    """A change as merge patches of the object's version at `base_revision`.

    An empty patch leaves its part unchanged.
    """

    __slots__ = ("name", "revision", "base_revision", "spec", "status")

    def __init__(
        self,
        name: str,
        revision: Revision,
        base_revision: Revision,
        spec: dict,
        status: dict,
    ):
        self.name = name
        self.revision = revision
        self.base_revision = base_revision
        self.spec = spec
        self.status = status


class Changes:
    """Result of a watch and the revision to continue from.

    A mirror's watchers get patches where they can be made; the store has none.
    """

    __slots__ = ("changes", "revision")

    def __init__(self, changes: list[Change | Patch], revision: Revision):
        self.changes = changes
        self.revision = revision
