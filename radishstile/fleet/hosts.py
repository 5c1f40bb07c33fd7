"""The registered entry hosts and their leader order by region."""

from collections.abc import Iterable

from radishstile.member import Member


class RegisteredHost:
    """An entry host and its number of cores."""

    __slots__ = ("member", "cores")

    def __init__(self, member: Member, cores: float):
        self.member = member
        self.cores = cores

    @property
    def name(self) -> str:
        """Return the host's name."""
        return self.member.host

    def __eq__(self, other: object) -> bool:
        return isinstance(other, RegisteredHost) and (
            (self.member, self.cores) == (other.member, other.cores)
        )

    __hash__ = None


class HostTable:
    """The registered hosts by name; `local_host` is always among them.

    `is_loaded` is whether a complete list was applied.

    A leader works for its whole region, so hosts are ordered by cores, most
    first, then by name. All hosts compute the same order, also those that
    start together and still know earlier incarnations of each other.
    """

    __slots__ = ("local_host", "is_loaded", "_by_name", "_orders")

    def __init__(self, local_host: RegisteredHost):
        self.local_host = local_host
        self.is_loaded = False
        self._by_name: dict[str, RegisteredHost] = {}
        # Leader orders by region, cached until the hosts change.
        self._orders: dict[str, list[Member]] = {}

    def __len__(self) -> int:
        return len(self._by_name.keys() | {self.local_host.name})

    def find(self, name: str) -> RegisteredHost | None:
        """Return the registered host of that name, if any."""
        return self._by_name.get(name)

    def is_local_first(self) -> bool:
        """Return whether the local host is the preferred leader of its region.

        False until the other hosts are known.
        """
        local = self.local_host.member
        order = self.list_leader_order(local.region)
        return self.is_loaded and order[0] == local

    def put(self, host: RegisteredHost) -> None:
        """Add or replace a host."""
        self._by_name[host.name] = host
        self._orders.clear()

    def remove(self, name: str) -> None:
        """Remove a host, if it is known."""
        self._by_name.pop(name, None)
        self._orders.clear()

    def replace_all(self, hosts: Iterable[RegisteredHost]) -> None:
        """Replace all hosts by a complete list."""
        self.is_loaded = True
        self._by_name = {host.name: host for host in hosts}
        self._orders.clear()

    def list_regions(self) -> list[str]:
        """Return the regions that have hosts."""
        regions = {host.member.region for host in self._by_name.values()}
        return sorted(regions | {self.local_host.member.region})

    def list_leader_order(self, region: str) -> list[Member]:
        """Return the hosts of a region, the preferred leader first."""
        ordered = self._orders.get(region)
        if ordered is None:
            ordered = self._orders[region] = self._sort_leader_order(region)
        return ordered

    def _sort_leader_order(self, region: str) -> list[Member]:
        known = {**self._by_name, self.local_host.name: self.local_host}
        hosts = [h for h in known.values() if h.member.region == region]
        hosts.sort(key=lambda host: (-host.cores, host.name))
        return [host.member for host in hosts]
