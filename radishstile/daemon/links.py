"""Rate limits for request bodies sent over links between regions."""

from radishstile.daemon.node import Node, read_clock
from radishstile.region.link import LinkBudget
from radishstile.region.settings import BODY_SHARE, RegionSettings


class LinkBudgets:
    """Budgets for the request bodies that this host sends to each region.

    The share of a link for request bodies is divided evenly over the
    registered hosts of the sending region; the rest is for answers and is
    divided over the slot owners there.
    """

    __slots__ = ("_node", "_budgets")

    def __init__(self, node: Node):
        self._node = node
        self._budgets: dict[str, LinkBudget] = {}

    def find(self, region: str) -> LinkBudget | None:
        """Return the budget towards `region`, or None if unlimited."""
        link = self._node.local_member.region, region
        mbit_per_s = self._node.configuration.links.get(link)
        if mbit_per_s is None:
            return None
        now = read_clock()
        share = BODY_SHARE / self._count_hosts()
        if region not in self._budgets:
            self._budgets[region] = LinkBudget(
                RegionSettings(), mbit_per_s, share, now
            )
        self._budgets[region].apply_rate(mbit_per_s, share, now)
        return self._budgets[region]

    def measure_headroom(self, region: str, now: float) -> float:
        """Return the unused fraction of the budget, 1 if unlimited."""
        budget = self.find(region)
        return 1.0 if budget is None else budget.measure_headroom(now)

    def _count_hosts(self) -> int:
        region = self._node.local_member.region
        members = self._node.fleet.roster.members.values()
        return max(1, sum(member.region == region for member in members))
