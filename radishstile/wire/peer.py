"""Clients and servers of peer connections."""

from radishstile.wire.client import PeerClient
from radishstile.wire.server import PeerServer

__all__ = ["PeerClient", "PeerServer"]
