"""Checks of caller requests that need neither a route nor a workspace."""

import posixpath
from urllib.parse import unquote

from radishstile.call import CallerRequest
from radishstile.errors import RefusalError
from radishstile.outcome import Reason
from radishstile.workspace.key import contains_key, parse_key


def check_path(path: str) -> None:
    """Refuse paths that an upstream could resolve to another route."""
    decoded = unquote(path)
    is_plain = decoded.startswith("/") and "\\" not in decoded
    normal = posixpath.normpath(decoded).replace("//", "/")
    if not is_plain or normal != (decoded.rstrip("/") or "/"):
        detail = "the path has empty or dot segments"
        raise RefusalError(Reason.BAD_REQUEST, detail=detail)


def check_key_hidden(caller_request: CallerRequest, body: bytes) -> None:
    """Refuse a request that would expose its key to an upstream."""
    if not caller_request.key:
        return
    key = parse_key(caller_request.key)
    exposed = [
        caller_request.target,
        *(value for _, value in caller_request.headers),
    ]
    exposed += [name for name, _ in caller_request.headers]
    if any(contains_key(text, key) for text in exposed):
        detail = "the key may only be in the Authorization header"
        raise RefusalError(Reason.BAD_REQUEST, detail=detail)
    if contains_key(body, key):
        detail = "the body shows the caller's key"
        raise RefusalError(Reason.BAD_REQUEST, detail=detail)
