"""Checks of a call before it is served, apart from its route and key."""

import posixpath
from urllib.parse import unquote

from radishstile.call import Call
from radishstile.errors import RefusalError
from radishstile.outcome import Reason
from radishstile.workspace.key import contains_key, parse_key


def check_path(path: str) -> None:
    """Refuse paths that an upstream could read as another route's."""
    decoded = unquote(path)
    is_plain = decoded.startswith("/") and "\\" not in decoded
    normal = posixpath.normpath(decoded).replace("//", "/")
    if not is_plain or normal != (decoded.rstrip("/") or "/"):
        detail = "the path has empty or dot segments"
        raise RefusalError(Reason.BAD_REQUEST, detail=detail)


def check_no_key(call: Call, body: bytes) -> None:
    """Refuse a call that shows its key where an upstream would see it."""
    if not call.key:
        return
    key = parse_key(call.key)
    shown = [call.target, *(value for _, value in call.headers)]
    shown += [name for name, _ in call.headers]
    if any(contains_key(text, key) for text in shown):
        detail = "the key may only be in the Authorization header"
        raise RefusalError(Reason.BAD_REQUEST, detail=detail)
    if contains_key(body, key):
        detail = "the body shows the caller's key"
        raise RefusalError(Reason.BAD_REQUEST, detail=detail)
