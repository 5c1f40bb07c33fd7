"""Digests that identify requests and idempotency keys."""

from hashlib import blake2b

DIGEST_BYTES = 16


def hash_key(workspace: str, key: str) -> bytes:
    """Return the 16-byte digest of a workspace's idempotency key."""
    return _hash_parts(workspace.encode(), key.encode())


def hash_request(method: str, path: str, body: bytes) -> bytes:
    """Return the 16-byte digest of a request's method, path and body.

    It detects that an idempotency key is reused for a different request.
    """
    return _hash_parts(method.encode(), path.encode(), body)


def hash_workspace_request(
    workspace: str, method: str, path: str, body: bytes
) -> bytes:
    """Return the 16-byte digest by which a poison request is recognized."""
    return _hash_parts(
        workspace.encode(), method.encode(), path.encode(), body
    )


def _hash_parts(*parts: bytes) -> bytes:
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
