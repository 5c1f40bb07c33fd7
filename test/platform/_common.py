"""Stored objects of tests; a revision is an era and a number."""

from radishstile.platform.revision import Revision
from radishstile.platform.stored_objects import (
    Change,
    Changes,
    Listing,
    PlatformObject,
)


def make_stored(name, number, spec=None, status=None, era=0):
    revision = Revision.make(era, number)
    return PlatformObject(name, revision, False, spec, status)


def make_change(stored, is_removed=False):
    return Change(stored, is_removed)


def make_listing(objects, number, era=0):
    return Listing(objects, Revision.make(era, number))


def make_changes(changes, number, era=0):
    return Changes(changes, Revision.make(era, number))
