"""A compact, immutable map from client blocks to sites."""

from collections.abc import Iterable
from ipaddress import IPv4Network, IPv6Network

from radishstile.errors import ConfigurationError
from radishstile.lookup.address import Family
from radishstile.lookup.chunk import Chunk, ChunkAssembler, split_intervals
from radishstile.lookup.intervals import (
    NO_SITE,
    Intervals,
    NetworkRange,
    resolve_networks,
)


class BlockTable:
    """Maps client addresses to the index of a site, 0 to 254.

    The longest matching prefix wins.
    """

    __slots__ = ("_v4", "_v6")

    def __init__(self, v4: Intervals, v6: Intervals):
        self._v4 = v4
        self._v6 = v6

    @classmethod
    def build(
        cls, pairs: Iterable[tuple[IPv4Network | IPv6Network, int]]
    ) -> "BlockTable":
        """Return the table of (network, site index) pairs.

        Raises `ConfigurationError` for a site out of range or a network
        with two sites.
        """
        networks: dict[int, list[NetworkRange]] = {
            Family.V4: [],
            Family.V6: [],
        }
        for network, site in pairs:
            if not 0 <= site < NO_SITE:
                raise ConfigurationError(
                    f"blocks: {network}: site number {site} is out of range"
                )
            first = int(network.network_address)
            address_range = NetworkRange(
                first, int(network.broadcast_address), site
            )
            networks[network.version].append(address_range)
        return cls(
            *(
                resolve_networks(family.bits, networks[family])
                for family in Family
            )
        )

    @classmethod
    def from_chunks(cls, bodies: Iterable[bytes]) -> "BlockTable":
        """Return the table of the given chunk bodies, in address order.

        Raises `ConfigurationError` if chunks are missing or corrupt.
        """
        assembler = ChunkAssembler()
        for body in bodies:
            assembler.add(body)
        return cls.from_assembler(assembler)

    @classmethod
    def from_assembler(cls, assembler: ChunkAssembler) -> "BlockTable":
        """Return the table that `assembler` has put together."""
        intervals = assembler.finish()
        return cls(intervals[Family.V4], intervals[Family.V6])

    def to_chunks(self) -> list[Chunk]:
        """Return the table as chunks of less than a megabyte each."""
        chunks = list(split_intervals(Family.V4, self._v4))
        chunks.extend(split_intervals(Family.V6, self._v6))
        return chunks

    def find(self, address: int, family: Family) -> int | None:
        """Return the site of `address`, or None if unknown."""
        if family is Family.V4:
            return self._v4.find(address)
        return self._v6.find(address)

    @property
    def size_bytes(self) -> int:
        """Return the memory that the table takes, in bytes."""
        return self._v4.size_bytes + self._v6.size_bytes

    def __len__(self) -> int:
        return len(self._v4) + len(self._v6)
