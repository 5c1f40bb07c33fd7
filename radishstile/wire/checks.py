"""Checks of the values of message fields, by the type of the field.

The codec applies them to each message that is sent or received, so that no
handler meets a number, a name or a record that it can't use.
"""

import math
from collections.abc import Callable
from typing import Any

import orjson

from radishstile.outcome import Reason
from radishstile.slot.claim import Ending
from radishstile.wire.messages import values
from radishstile.wire.messages.base import Headers, PartData
from radishstile.wire.settings import PART_LIMIT_BYTES

# Largest time, age, number of things or of tokens. Ages that stand for
# "never" are reported as this number of seconds.
AMOUNT_LIMIT = 1e9
# Largest number: digests have 64 bits.
NUMBER_LIMIT = 2**64 - 1
_ENDINGS = frozenset(ending.value for ending in Ending)
_REASONS = frozenset(reason.value for reason in Reason)
_STORED_OBJECT_LENGTH = 5
_TARGET_ROW_LENGTH = 6

Check = Callable[[Any], bool]


def _is_float(value) -> bool:
    return type(value) in (float, int)


def _is_int(value) -> bool:
    return type(value) is int


def _is_bool(value) -> bool:
    return type(value) is bool


def _is_string(value) -> bool:
    return type(value) is str


def _is_dict(value) -> bool:
    return type(value) is dict


def _is_list(value) -> bool:
    return type(value) in (list, tuple)


def _is_string_list(value) -> bool:
    return _is_list(value) and all(type(item) is str for item in value)


def _is_header(value) -> bool:
    return _is_string_list(value) and len(value) == 2


def _is_seconds(value) -> bool:
    # False for NaN too, as are the comparisons below.
    return _is_float(value) and -AMOUNT_LIMIT <= value <= AMOUNT_LIMIT


def _is_amount(value) -> bool:
    return _is_float(value) and 0 <= value <= AMOUNT_LIMIT


def _is_rate(value) -> bool:
    return _is_amount(value) or (_is_float(value) and value == math.inf)


def _is_count(value) -> bool:
    return _is_int(value) and 0 <= value <= AMOUNT_LIMIT


def _is_number(value) -> bool:
    return _is_int(value) and 0 <= value <= NUMBER_LIMIT


def _is_queried_revision(value) -> bool:
    return _is_number(value) or (_is_int(value) and value == -1)


def _is_load(value) -> bool:
    if not _is_list(value) or len(value) != 2:
        return False
    demand, capacity = value
    return (demand is None or _is_amount(demand)) and _is_amount(capacity)


def _is_amount_list(value) -> bool:
    return _is_list(value) and all(map(_is_amount, value))


def _is_target_row(value) -> bool:
    if not _is_list(value) or len(value) != _TARGET_ROW_LENGTH:
        return False
    zone, group, *numbers = value
    is_named = _is_string(zone) and _is_string(group)
    return is_named and all(map(_is_seconds, numbers))


def _is_json(value) -> bool:
    """Return whether hosts can compare the value and make patches of it."""
    try:
        orjson.dumps(value)
    except TypeError:
        return False
    return True


def _is_stored_object(record) -> bool:
    if not _is_list(record) or len(record) < _STORED_OBJECT_LENGTH:
        return False
    name, revision, spec, status, is_removed, *base = record
    if not (_is_string(name) and _is_number(revision)):
        return False
    if not (_is_bool(is_removed) and _is_json([name, spec, status])):
        return False
    if not base:
        return True
    is_patch = _is_dict(spec) and _is_dict(status)
    return is_patch and len(base) == 1 and _is_number(base[0])


def _is_list_of(check: Check) -> Check:
    return lambda value: _is_list(value) and all(map(check, value))


def _is_map_of(check: Check) -> Check:
    return lambda value: (
        _is_dict(value)
        and all(map(_is_string, value))
        and all(map(check, value.values()))
    )


def _is_optional(check: Check) -> Check:
    return lambda value: value is None or check(value)


CHECKS: dict[Any, Check] = {
    int: _is_int,
    str: _is_string,
    bool: _is_bool,
    bytes: lambda value: type(value) is bytes,
    dict: _is_dict,
    float: _is_float,
    float | None: _is_optional(_is_float),
    list: _is_list,
    list | dict: lambda value: _is_dict(value) or _is_list(value),
    list[str]: _is_string_list,
    Headers: _is_list_of(_is_header),
    PartData: lambda value: (
        type(value) is bytes and len(value) <= PART_LIMIT_BYTES
    ),
    values.Seconds: _is_seconds,
    values.OptionalSeconds: _is_optional(_is_seconds),
    values.Duration: _is_amount,
    values.OptionalRate: _is_optional(_is_rate),
    values.Count: _is_count,
    values.Number: _is_number,
    values.QueriedRevision: _is_queried_revision,
    values.EndingName: lambda value: _is_string(value) and value in _ENDINGS,
    values.ReasonName: lambda value: _is_string(value) and value in _REASONS,
    values.Rates: _is_map_of(_is_rate),
    values.Amounts: _is_map_of(_is_amount),
    values.Counts: _is_map_of(_is_count),
    values.Loads: _is_map_of(_is_load),
    values.TargetRows: _is_list_of(_is_target_row),
    values.Deadlines: _is_map_of(_is_amount_list),
    values.StoredObjects: _is_list_of(_is_stored_object),
}
