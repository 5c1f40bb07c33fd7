"""Decodes the store's JSON, also if one object in it can't be decoded."""

import math
import re
from typing import Any

import orjson

# Nesting of values that is kept; the platform's own objects have less than
# half of it. Deeper values could not be sent to other hosts either.
MAX_DEPTH = 64

_NULL = b"null"
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|-?[0-9][0-9.eE+-]*|[\[\]{}]', re.S)
# Escapes in a text: a surrogate pair, half of one, any other.
_ESCAPE = re.compile(
    rb"(?P<pair>\\u[dD][89abAB]..\\u[dD][c-fC-F]..)"
    rb"|(?P<half>\\u[dD][89a-fA-F]..)|\\.",
    re.S,
)
_REPLACEMENT = rb"\ufffd"
_OPENING = frozenset({b"[", b"{"})
_CLOSING = frozenset({b"]", b"}"})


def decode_json(body: bytes) -> Any:
    """Return the decoded value; an empty body counts as an empty object.

    Values that are nested too deeply and numbers that are too large become
    null, and characters that no text can hold U+FFFD: one writer's entry must
    not hide those of the others. Raises `ValueError` if the body isn't JSON.
    """
    try:
        return orjson.loads(body or b"{}")
    except orjson.JSONDecodeError:
        return orjson.loads(_replace_undecodable(body))


def _replace_undecodable(body: bytes) -> bytes:
    body = body.decode("utf-8", "replace").encode()
    parts: list[bytes] = []
    # End of what was copied to `parts`.
    copied_to = 0
    depth = 0
    for token in _TOKEN.finditer(body):
        text = token.group()
        if text in _OPENING:
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts += [body[copied_to : token.start()], _NULL]
        elif text in _CLOSING:
            if depth == MAX_DEPTH + 1:
                copied_to = token.end()
            depth -= 1
        elif depth <= MAX_DEPTH:
            readable = _make_readable(text)
            if readable != text:
                parts += [body[copied_to : token.start()], readable]
                copied_to = token.end()
    parts.append(body[copied_to:])
    return b"".join(parts)


def _make_readable(text: bytes) -> bytes:
    """Return a text or number, or what stands for it."""
    if text.startswith(b'"'):
        return _ESCAPE.sub(_replace_half, text)
    try:
        return _NULL if math.isinf(float(text)) else text
    except ValueError:
        return text


def _replace_half(escape: re.Match) -> bytes:
    return _REPLACEMENT if escape["half"] else escape[0]


def is_too_deep(value: Any) -> bool:
    """Return whether a decoded value is nested too deeply to be used."""
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [child for parent in level for child in _list_children(parent)]
        if not level:
            return False
    return True


def _list_children(value: Any) -> list:
    if type(value) is dict:
        return list(value.values())
    return value if type(value) is list else []
