"""Parses lists of client blocks, one `CIDR,site` per line."""

import ipaddress
from collections.abc import Iterable, Iterator

from radishstile.errors import ConfigurationError

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


class ListedSite:
    """The first line that lists a network, and the index of its site."""

    __slots__ = ("line", "site")

    def __init__(self, line: int, site: int):
        self.line = line
        self.site = site


def read_blocks(
    lines: Iterable[str], sites: list[str]
) -> Iterator[tuple[Network, int]]:
    """Yield each network with the index of its site in `sites`.

    Empty lines are skipped. Raises `ConfigurationError` with the number of
    the first line that is malformed, names an unknown site or lists a
    network again with another site.
    """
    index = {site: number for number, site in enumerate(sites)}
    seen: dict[Network, ListedSite] = {}
    for number, line in enumerate(lines, 1):
        text = line.strip()
        if not text:
            continue
        network, site = _read_line(text, number, index)
        entry = seen.setdefault(network, ListedSite(number, site))
        if entry.site != site:
            raise ConfigurationError(
                f"line {number}: {network} has another site than in line "
                f"{entry.line}"
            )
        yield network, site


def _read_line(
    text: str, number: int, index: dict[str, int]
) -> tuple[Network, int]:
    block, comma, site = text.partition(",")
    if not comma:
        raise ConfigurationError(f"line {number}: expected CIDR,site")
    try:
        network = ipaddress.ip_network(block.strip())
    except ValueError as error:
        raise ConfigurationError(f"line {number}: {error}") from error
    name = site.strip()
    if name not in index:
        raise ConfigurationError(f"line {number}: unknown site {name!r}")
    return network, index[name]
