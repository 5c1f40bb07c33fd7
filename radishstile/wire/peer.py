"""Clients and servers of the peer streams."""

from radishstile.wire.client import PeerClient
from radishstile.wire.server import PeerServer

__all__ = ["PeerClient", "PeerServer"]
