"""Encoding of load hints in heartbeats."""

from radishstile.route.candidates import ZoneHint
from radishstile.upstream.dispatcher import Dispatcher

_MS_PER_S = 1000
_WAIT_LIMIT_S = 60.0


def encode_hint(dispatcher: Dispatcher) -> list[int]:
    """Return slots, free slots and the expected wait in ms, as a list."""
    hints = dispatcher.hints()
    wait_ms = round(min(hints.wait_s, _WAIT_LIMIT_S) * _MS_PER_S)
    return [hints.slots, hints.free, wait_ms]


def decode_hint(record: list[int], received_at: float) -> ZoneHint:
    """Return the hint for an encoded list; `received_at` is loop time."""
    slots, free, wait_ms = record
    return ZoneHint(slots, free, wait_ms / _MS_PER_S, received_at)
