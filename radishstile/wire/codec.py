"""Encodes envelopes as msgpack, and checks field types.

Long content is compressed if the message's type asks for it. The first byte
tells: zlib's header differs from that of a list of four.
"""

import zlib
from typing import get_type_hints

import msgpack

from radishstile.errors import FrameError
from radishstile.wire.frames import FRAME_LIMIT_BYTES, check_length
from radishstile.wire.messages.base import Headers, Message, PartData
from radishstile.wire.registry import MESSAGE_TYPES
from radishstile.wire.settings import PART_LIMIT_BYTES

# Content from this length on is compressed, in bytes.
COMPRESSION_MIN_BYTES = 512
# The fastest.
_COMPRESSION_LEVEL = 1
_ZLIB_HEADER = b"\x78"
# HTTP header values may contain bytes that are not UTF-8.
_UNICODE_ERRORS = "surrogateescape"
_UNPACK_ERRORS = (
    ValueError,
    TypeError,
    RecursionError,
    msgpack.UnpackException,
)


class Envelope:
    """A message with the sender's incarnation and the exchange number."""

    __slots__ = ("incarnation", "exchange", "message")

    def __init__(self, incarnation: int, exchange: int, message: Message):
        self.incarnation = incarnation
        self.exchange = exchange
        self.message = message


def encode(envelope: Envelope) -> bytes:
    """Return the envelope as msgpack.

    Raises `FrameError` if a field has the wrong type.
    """
    message = envelope.message
    number = _TYPE_NUMBERS[type(message)]
    values = message.values()
    _check_fields(type(message), values)
    record = [envelope.incarnation, envelope.exchange, number, values]
    try:
        content = msgpack.packb(record, unicode_errors=_UNICODE_ERRORS)
    except (ValueError, TypeError, OverflowError) as error:
        name = type(message).__name__
        raise FrameError(f"{name} can't be encoded: {error}") from error
    if not message.is_compressed or len(content) < COMPRESSION_MIN_BYTES:
        return content
    check_length(len(content), FRAME_LIMIT_BYTES)
    return zlib.compress(content, _COMPRESSION_LEVEL)


def decode(content: bytes) -> Envelope:
    """Return the decoded envelope.

    Raises a `FrameError` that names the invalid field.
    """
    if content.startswith(_ZLIB_HEADER):
        content = _decompress(content)
    record = _unpack(content)
    if type(record) is not list or len(record) != 4:
        raise FrameError("envelope is not a list of four")
    incarnation, exchange, number, values = record
    _check_non_negative_int("incarnation", incarnation)
    _check_non_negative_int("exchange", exchange)
    _check_non_negative_int("type", number)
    kind = MESSAGE_TYPES.get(number)
    if kind is None:
        raise FrameError(f"type {number} is unknown")
    _check_fields(kind, values)
    message = kind(**dict(zip(kind.fields, values, strict=True)))
    return Envelope(incarnation, exchange, message)


def _decompress(content: bytes) -> bytes:
    """Return the content, if it is complete and not larger than a frame."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(content, FRAME_LIMIT_BYTES)
    except zlib.error as error:
        raise FrameError(f"frame can't be decompressed: {error}") from error
    if not decompressor.eof or decompressor.unused_data:
        raise FrameError("compressed frame is not complete or too large")
    return data


def _unpack(content: bytes):
    try:
        return msgpack.unpackb(content, unicode_errors=_UNICODE_ERRORS)
    except _UNPACK_ERRORS as error:
        raise FrameError(f"frame is not valid msgpack: {error}") from error


def _check_non_negative_int(name: str, value) -> None:
    if type(value) is not int or value < 0:
        raise FrameError(f"{name} is not a non-negative integer")


def _check_fields(kind: type[Message], values) -> None:
    layout = _LAYOUTS[kind]
    if type(values) is not list or len(values) != len(layout):
        raise FrameError(f"{kind.__name__} needs {len(layout)} fields")
    for (name, is_valid), value in zip(layout, values, strict=True):
        if not is_valid(value):
            raise FrameError(f"{kind.__name__}.{name} has an invalid value")


def _is_float(value) -> bool:
    return type(value) in (float, int)


def _is_list(value) -> bool:
    return type(value) in (list, tuple)


def _is_string_list(value) -> bool:
    return _is_list(value) and all(type(item) is str for item in value)


def _is_header(value) -> bool:
    return _is_string_list(value) and len(value) == 2


_CHECKS = {
    int: lambda value: type(value) is int,
    str: lambda value: type(value) is str,
    bool: lambda value: type(value) is bool,
    bytes: lambda value: type(value) is bytes,
    dict: lambda value: type(value) is dict,
    list: _is_list,
    float: _is_float,
    float | None: lambda value: value is None or _is_float(value),
    list | dict: lambda value: type(value) is dict or _is_list(value),
    list[str]: _is_string_list,
    Headers: lambda value: _is_list(value) and all(map(_is_header, value)),
    PartData: lambda value: (
        type(value) is bytes and len(value) <= PART_LIMIT_BYTES
    ),
}


def _build_layout(kind: type[Message]) -> list[tuple]:
    hints = get_type_hints(kind)
    return [(name, _CHECKS[hints[name]]) for name in kind.fields]


_TYPE_NUMBERS = {kind: number for number, kind in MESSAGE_TYPES.items()}
_LAYOUTS = {kind: _build_layout(kind) for kind in _TYPE_NUMBERS}
