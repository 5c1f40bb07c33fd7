"""Sorted address intervals of one family, in compact arrays."""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator

from radishstile.errors import ConfigurationError

NO_SITE = 255
_LOW_BITS = 64
_LOW_MASK = (1 << _LOW_BITS) - 1


class NetworkRange:
    """The addresses of one network, `first` to `last`, and their site."""

    __slots__ = ("first", "last", "site")

    def __init__(self, first: int, last: int, site: int):
        self.first = first
        self.last = last
        self.site = site


class Intervals:
    """Maps each address to a site by the interval that holds it.

    Interval `i` begins at `starts[i]` and ends where the next one begins.
    IPv6 starts are split into two 64-bit halves; `lows` stays empty while
    each low half is zero, and for IPv4.
    """

    __slots__ = ("bits", "starts", "lows", "sites")

    def __init__(self, bits: int):
        self.bits = bits
        self.starts = array("I" if bits == 32 else "Q")
        self.lows = array("Q")
        self.sites = array("B")

    def __len__(self) -> int:
        return len(self.sites)

    @property
    def size_bytes(self) -> int:
        """Return the memory that the arrays take, in bytes."""
        columns = (self.starts, self.lows, self.sites)
        return sum(len(column) * column.itemsize for column in columns)

    def append(self, start: int, site: int) -> None:
        """Append an interval, or extend the last one if sites match."""
        if self.sites and self.sites[-1] == site:
            return
        if self.sites and self.start_of(len(self) - 1) == start:
            self._pop()
            self.append(start, site)
            return
        self._push(start, site)

    def extend(self, other: "Intervals") -> None:
        """Append the intervals of `other`, which must begin after the last."""
        if not other.sites:
            return
        self.append(other.start_of(0), other.sites[0])
        if other.lows and not self.lows:
            self.lows.extend(0 for _ in self.starts)
        if self.lows:
            zeros = array("Q", bytes(8 * len(other)))
            self.lows.extend((other.lows or zeros)[1:])
        self.starts.extend(other.starts[1:])
        self.sites.extend(other.sites[1:])

    def _push(self, start: int, site: int) -> None:
        self.sites.append(site)
        if self.bits == 32:
            self.starts.append(start)
            return
        low = start & _LOW_MASK
        if low and not self.lows:
            self.lows.extend(0 for _ in self.starts)
            self.lows.append(low)
        elif self.lows:
            self.lows.append(low)
        self.starts.append(start >> _LOW_BITS)

    def _pop(self) -> None:
        self.sites.pop()
        self.starts.pop()
        if self.lows:
            self.lows.pop()

    def start_of(self, index: int) -> int:
        """Return the first address of interval `index`."""
        if self.bits == 32:
            return self.starts[index]
        low = self.lows[index] if self.lows else 0
        return self.starts[index] << _LOW_BITS | low

    def find_index(self, address: int) -> int:
        """Return the index of the interval that holds `address`, or -1."""
        if self.bits == 32:
            return bisect_right(self.starts, address) - 1
        high = address >> _LOW_BITS
        end = bisect_right(self.starts, high)
        if not self.lows:
            return end - 1
        begin = bisect_left(self.starts, high, 0, end)
        low = address & _LOW_MASK
        return bisect_right(self.lows, low, begin, end) - 1

    def find(self, address: int) -> int | None:
        """Return the site of `address`, or None if unknown."""
        index = self.find_index(address)
        if index < 0:
            return None
        site = self.sites[index]
        return None if site == NO_SITE else site


def resolve_networks(bits: int, networks: Iterable[NetworkRange]) -> Intervals:
    """Flatten networks into intervals; the longest prefix wins.

    Networks nest or are disjoint. Raises `ConfigurationError` if a network
    has two sites.
    """
    intervals = Intervals(bits)
    intervals.append(0, NO_SITE)
    open_networks: list[NetworkRange] = []
    for network in _sort_networks(networks):
        _close_networks(intervals, open_networks, network.first)
        intervals.append(network.first, network.site)
        open_networks.append(network)
    _close_networks(intervals, open_networks, 1 << bits)
    return intervals


def _sort_networks(networks: Iterable[NetworkRange]) -> Iterator[NetworkRange]:
    previous = None
    for network in sorted(
        networks, key=lambda network: (network.first, -network.last)
    ):
        if previous and _is_same_network(previous, network):
            if previous.site == network.site:
                continue
            raise ConfigurationError(
                f"blocks: two sites for the network at {network.first:#x}"
            )
        previous = network
        yield network


def _is_same_network(one: NetworkRange, other: NetworkRange) -> bool:
    return one.first == other.first and one.last == other.last


def _close_networks(
    intervals: Intervals, open_networks: list[NetworkRange], until: int
) -> None:
    """End the networks that end before `until`."""
    while open_networks and open_networks[-1].last < until:
        ended = open_networks.pop()
        after = ended.last + 1
        if after >> intervals.bits:
            continue
        outer = open_networks[-1].site if open_networks else NO_SITE
        intervals.append(after, outer)
