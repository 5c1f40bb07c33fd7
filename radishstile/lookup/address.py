"""Client addresses as integers, and the blocks they are grouped by."""

import ipaddress
import socket
from enum import IntEnum

BLOCK_BITS_V4 = 24
BLOCK_BITS_V6 = 48


class Family(IntEnum):
    """An address family, by its IP version."""

    V4 = 4
    V6 = 6

    @property
    def bits(self) -> int:
        """Return the width of an address in bits."""
        return 32 if self is Family.V4 else 128


class ClientAddress:
    """The address of a caller: its value and its family."""

    __slots__ = ("value", "family")

    def __init__(self, value: int, family: Family):
        self.value = value
        self.family = family

    @classmethod
    def parse(cls, text: str) -> "ClientAddress":
        """Parse `text`; raises `ValueError` if it is no IP address.

        An IPv4 address mapped into IPv6 counts as IPv4.
        """
        try:
            packed = socket.inet_pton(socket.AF_INET, text)
        except OSError:
            return cls._parse_any(text)
        return cls(int.from_bytes(packed), Family.V4)

    @classmethod
    def _parse_any(cls, text: str) -> "ClientAddress":
        address = ipaddress.ip_address(text)
        mapped = getattr(address, "ipv4_mapped", None)
        address = mapped or address
        return cls(int(address), Family(address.version))

    @property
    def block(self) -> bytes:
        """Return the key of the client block that holds the address.

        Blocks have a fixed prefix length (/24 and /48), so hosts with
        different versions of the block table agree on them.
        """
        if self.family is Family.V4:
            prefix = self.value >> (32 - BLOCK_BITS_V4)
            return b"4" + prefix.to_bytes(BLOCK_BITS_V4 // 8)
        prefix = self.value >> (128 - BLOCK_BITS_V6)
        return b"6" + prefix.to_bytes(BLOCK_BITS_V6 // 8)
