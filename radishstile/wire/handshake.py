"""Mutual authentication with the fleet's secret when a connection opens.

Each side sends a `Hello` with a nonce. The dialler sends its proof first, so
that an unauthenticated client never receives a proof from the listener.
"""

import asyncio
import hashlib
import hmac
import secrets
from contextlib import asynccontextmanager

import msgpack

from radishstile.errors import FrameError, HandshakeError, PeerLostError
from radishstile.member import Member
from radishstile.wire.connection import Connection
from radishstile.wire.messages.base import Message
from radishstile.wire.messages.control import Hello, Proof

PROTOCOL = 1
NONCE_BYTES = 32
HELLO_LIMIT_BYTES = 4096

_DIALLER = "dialler"
_LISTENER = "listener"
_MEMBER_TYPES = {
    "host": str,
    "incarnation": int,
    "zone": str,
    "region": str,
    "address": str,
    "peer_port": int,
    "http_port": int,
}
# Names of hosts are digested and logged as UTF-8.
_TEXT_FIELDS = [name for name, kind in _MEMBER_TYPES.items() if kind is str]


async def run_dialler_handshake(connection: Connection, host: str) -> None:
    """Run the dialler's side with the peer named `host`.

    Raises `HandshakeError`.
    """
    mine = _build_hello(connection)
    async with _limit_handshake(connection):
        connection.write(0, mine)
        theirs = await _read_message(connection, Hello)
        _check_hello(theirs)
        peer = _read_member(theirs)
        if peer.host != host:
            raise HandshakeError(f"answered as {peer.host}, not {host}")
        secret = connection.settings.fleet_secret
        digest = compute_proof(secret, _DIALLER, mine, theirs)
        connection.write(0, Proof(digest=digest))
        proof = await _read_message(connection, Proof)
        _check_proof(proof, compute_proof(secret, _LISTENER, mine, theirs))
    _set_peer(connection, peer, theirs)


async def run_listener_handshake(connection: Connection) -> None:
    """Run the listener's side; raises `HandshakeError`."""
    mine = _build_hello(connection)
    async with _limit_handshake(connection):
        theirs = await _read_message(connection, Hello)
        # Sent before the check, so that each side learns the other's
        # protocol version.
        connection.write(0, mine)
        _check_hello(theirs)
        peer = _read_member(theirs)
        secret = connection.settings.fleet_secret
        proof = await _read_message(connection, Proof)
        _check_proof(proof, compute_proof(secret, _DIALLER, theirs, mine))
        digest = compute_proof(secret, _LISTENER, theirs, mine)
        connection.write(0, Proof(digest=digest))
    _set_peer(connection, peer, theirs)


def compute_proof(
    secret: bytes, role: str, dialler: Hello, listener: Hello
) -> bytes:
    """Return the HMAC of a role and both hellos."""
    content = msgpack.packb([role, dialler.values(), listener.values()])
    return hmac.digest(secret, content, hashlib.sha256)


@asynccontextmanager
async def _limit_handshake(connection: Connection):
    """Limit the time of a handshake; turn failures into `HandshakeError`."""
    try:
        async with asyncio.timeout(connection.settings.handshake_timeout_s):
            yield
    except TimeoutError as error:
        raise HandshakeError("timed out") from error
    except (FrameError, PeerLostError) as error:
        raise HandshakeError(str(error)) from error


def _build_hello(connection: Connection) -> Hello:
    return Hello(
        protocol=PROTOCOL,
        member=connection.local_member.to_record(),
        nonce=secrets.token_bytes(NONCE_BYTES),
        credit_parts=connection.settings.credit_parts,
    )


async def _read_message(
    connection: Connection, kind: type[Message]
) -> Message:
    envelope = await connection.read(HELLO_LIMIT_BYTES)
    if type(envelope.message) is not kind:
        raise HandshakeError(f"expected {kind.__name__}")
    return envelope.message


def _check_hello(hello: Hello) -> None:
    if hello.protocol != PROTOCOL:
        raise HandshakeError(f"unsupported protocol {hello.protocol}")
    if len(hello.nonce) != NONCE_BYTES:
        raise HandshakeError("sent a short nonce")
    if hello.credit_parts < 1:
        raise HandshakeError("grants no credit")


def _read_member(hello: Hello) -> Member:
    kinds = {name: type(value) for name, value in hello.member.items()}
    if kinds != _MEMBER_TYPES:
        raise HandshakeError("sent a malformed member record")
    if any(not _is_text(hello.member[name]) for name in _TEXT_FIELDS):
        raise HandshakeError("sent a member record that is not text")
    return Member.from_record(hello.member)


def _is_text(value: str) -> bool:
    """Return whether a string has no bytes that are not UTF-8."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _check_proof(proof: Proof, expected: bytes) -> None:
    if not hmac.compare_digest(proof.digest, expected):
        raise HandshakeError("does not know the fleet's secret")


def _set_peer(connection: Connection, peer: Member, hello: Hello) -> None:
    connection.peer = peer
    connection.peer_credit_parts = hello.credit_parts
