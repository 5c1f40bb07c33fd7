"""API keys of workspaces: issues, parses and authenticates them."""

import hashlib
import hmac
import re
import secrets

from radishstile.configuration.document import Configuration, Route, Workspace
from radishstile.errors import RefusalError
from radishstile.outcome import Reason

ID_BYTES = 8
SECRET_BYTES = 24
SECRET_CHARS = 32
MAX_PERCENT_DECODINGS = 3
_KEY_PATTERN = re.compile(
    rf"([a-z0-9][a-z0-9-]{{0,62}})\.([A-Za-z0-9_-]{{{SECRET_CHARS}}})",
    re.ASCII,
)
_UNKNOWN_HASH = "0" * 64


class ApiKey:
    """A public id and a secret, which never appears in logs or `repr`."""

    __slots__ = ("key_id", "_secret")

    def __init__(self, key_id: str, secret: str):
        self.key_id = key_id
        self._secret = secret

    @property
    def text(self) -> str:
        """Return the key as callers send it, `id.secret`."""
        return f"{self.key_id}.{self._secret}"

    @property
    def secret(self) -> str:
        """Return the secret part."""
        return self._secret

    def __repr__(self) -> str:
        return "Key(...)"


def issue_key() -> ApiKey:
    """Return a new random key."""
    key_id = secrets.token_hex(ID_BYTES)
    return ApiKey(key_id, secrets.token_urlsafe(SECRET_BYTES))


def hash_secret(secret: str) -> str:
    """Return the SHA-256 of a secret, in hexadecimal."""
    return hashlib.sha256(secret.encode()).hexdigest()


def parse_key(text: str) -> ApiKey:
    """Return the key in `text`, or raise `RefusalError`."""
    match = _KEY_PATTERN.fullmatch(text)
    if match is None:
        raise RefusalError(Reason.BAD_KEY)
    return ApiKey(match[1], match[2])


def authenticate(
    configuration: Configuration, route: Route, text: str | None
) -> Workspace | None:
    """Return the workspace that owns the key in `text`.

    Returns None for a request without a key on an open route; it counts
    against no workspace's rate. An invalid key is refused on open routes
    too: its caller expects to be identified, and a revoked key must not
    work anywhere. `Route.workspaces` restricts a closed route to the named
    workspaces, or to any if empty. It does not apply to open routes, where
    a caller could simply omit its key.
    """
    if not text:
        if route.is_open:
            return None
        raise RefusalError(Reason.NO_KEY)
    key = parse_key(text)
    workspace = _find_workspace(configuration, key)
    is_limited = route.workspaces and not route.is_open
    if is_limited and workspace.name not in route.workspaces:
        raise RefusalError(Reason.FOREIGN_KEY)
    return workspace


def contains_key(content: str | bytes, key: ApiKey) -> bool:
    """Return whether `content` has the key's secret, also percent-encoded.

    Nested encodings are decoded up to `MAX_PERCENT_DECODINGS` times.
    """
    if isinstance(content, str):
        content = content.encode("utf-8", "surrogateescape")
    secret = key.secret.encode()
    for _ in range(MAX_PERCENT_DECODINGS):
        if secret in content:
            return True
        content = _decode_percents(content)
    return secret in content


def _find_workspace(configuration: Configuration, key: ApiKey) -> Workspace:
    """Return the key's workspace, or raise `RefusalError`.

    The hash is compared for an unknown id too, so that timing does not
    reveal which ids exist.
    """
    owner = None
    expected = _UNKNOWN_HASH
    for workspace in configuration.workspaces.values():
        if key.key_id in workspace.keys:
            owner = workspace
            expected = workspace.keys[key.key_id]
    is_valid = hmac.compare_digest(hash_secret(key.secret), expected)
    if owner is None or not is_valid:
        raise RefusalError(Reason.BAD_KEY)
    return owner


def _decode_percents(content: bytes) -> bytes:
    return re.sub(
        rb"%([0-9A-Fa-f]{2})",
        lambda match: bytes([int(match[1], 16)]),
        content,
    )
