"""Types of message fields whose values are limited; see `wire.checks`."""

from typing import NewType

# A time or an age in seconds: finite, of either sign.
Seconds = NewType("Seconds", float)
OptionalSeconds = NewType("OptionalSeconds", float | None)
# A finite time in seconds that is not negative.
Duration = NewType("Duration", float)
# Requests a second: not negative, infinity for no limit.
OptionalRate = NewType("OptionalRate", float | None)
# A number that is not negative: of things, of a version or of a digest.
Count = NewType("Count", int)
Number = NewType("Number", int)
# Revision of a query, or -1 for all objects.
QueriedRevision = NewType("QueriedRevision", int)
# Values of the enumerations of these names.
EndingName = NewType("EndingName", str)
ReasonName = NewType("ReasonName", str)
# Maps of names to limited numbers.
Rates = NewType("Rates", dict)
Amounts = NewType("Amounts", dict)
Counts = NewType("Counts", dict)
# Maps services to demand, which may be None, and capacity.
Loads = NewType("Loads", dict)
# Lists of zone, group and finite numbers, as fields of `TargetHint`.
TargetRows = NewType("TargetRows", list)
# Maps endpoints to lists of `Duration`.
Deadlines = NewType("Deadlines", dict)
# Lists of name, revision, spec, status, whether the object was removed, and
# for patches the revision that they are made from.
StoredObjects = NewType("StoredObjects", list)
