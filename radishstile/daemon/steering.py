"""Traffic steering: look-ups, client regions and planned moves."""

from radishstile.daemon.node import Node, read_clock
from radishstile.daemon.resources import MoveResource
from radishstile.errors import RefusalError
from radishstile.lookup.address import ClientAddress
from radishstile.lookup.answer import LookupQuery, make_answer
from radishstile.lookup.directory import HostDirectory
from radishstile.lookup.location import RegionLocator
from radishstile.lookup.table import BlockTable
from radishstile.outcome import Reason
from radishstile.shift.cap import CapEnforcer
from radishstile.shift.controller import collect_shares
from radishstile.shift.event import Cancelled
from radishstile.shift.measurements import MoveHint
from radishstile.shift.offered import OfferedLoads
from radishstile.shift.progress import MoveProgress
from radishstile.shift.share import Destination, Placement
from radishstile.workspace.admission import RateAdmission

_MAX_TOKEN_WAIT_S = 0.1


class CapBudget:
    """The tokens of one move's cap that this host holds."""

    __slots__ = ("_admission", "_resource")

    def __init__(self, admission: RateAdmission, move: str):
        self._admission = admission
        self._resource = MoveResource(move).name

    def try_take(self, now: float) -> bool:
        """Spend one token; return False if there is none."""
        return self._admission.try_take(self._resource, now)

    async def wait(self, deadline: float) -> bool:
        """Wait for a token and spend it; return False if none came in time.

        One host's allotment of a small cap is less than one token, so the
        owner keeps it and grants tokens as requests wait.
        """
        try:
            reservation = await self._admission.admit(self._resource, deadline)
        except RefusalError:
            return False
        return reservation.spend(read_clock())


class SteeringDecision:
    """The effect of planned moves on one request.

    `region` is the preferred region, or None; `excluded_regions` must not
    run it, as their share of a move is used up.
    """

    __slots__ = ("region", "excluded_regions")

    def __init__(
        self,
        region: str | None = None,
        excluded_regions: frozenset[str] = frozenset(),
    ):
        self.region = region
        self.excluded_regions = excluded_regions


class StoredProgress:
    """A move's progress and its version in the store."""

    __slots__ = ("progress", "version")

    def __init__(self, progress: MoveProgress, version: int):
        self.progress = progress
        self.version = version


class Steering:
    """Answers look-ups and chooses the region of each request."""

    __slots__ = (
        "_node",
        "_admission",
        "_published",
        "_locator",
        "_placement",
        "_budgets",
        "_cap_enforcer",
        "_directory",
        "_table",
        "_sites",
        "_site_regions",
        "_blocks",
        "_moves",
        "_targets",
        "_offered",
    )

    def __init__(self, node: Node, admission: RateAdmission):
        self._node = node
        self._admission = admission
        self._published: dict[str, StoredProgress] = {}
        self._directory = HostDirectory(
            node.settings.lookup, node.local_member.region
        )
        self._placement = Placement([], {})
        self._budgets: dict[str, CapBudget] = {}
        self._cap_enforcer = CapEnforcer(self._placement, self._budgets, 0.0)
        self._table = BlockTable.build([])
        self._sites: list[str] = []
        self._site_regions: dict[str, str] = {}
        self._blocks: list[dict] = []
        self._moves: dict[str, dict] = {}
        self._targets: dict[tuple[str, str], frozenset[str]] = {}
        self._locator = RegionLocator([], self._table, [])
        self._offered = OfferedLoads()

    def apply_configuration(self) -> None:
        """Apply the blocks and moves of the configuration in force."""
        document = self._node.configuration.document
        blocks = document.get("blocks", [])
        sites = document.get("sites", {})
        if (blocks, sites) != (self._blocks, self._site_regions):
            self._blocks = blocks
            self._site_regions = sites
            self._rebuild_locator()
        moves = document.get("moves", {})
        if moves != self._moves:
            self._moves = moves
            self._cancel_deleted()
            self._rebuild_placement()

    def replace_table(self, table: BlockTable, sites: list[str]) -> None:
        """Use another block table; its site numbers index `sites`."""
        self._table = table
        self._sites = sites
        self._rebuild_locator()

    def count_intervals(self) -> int:
        """Return the number of intervals of the block table in use."""
        return len(self._table)

    def _rebuild_locator(self) -> None:
        regions = [self._site_regions.get(site) for site in self._sites]
        blocks = self._node.configuration.blocks
        self._locator = RegionLocator(blocks, self._table, regions)

    def _cancel_deleted(self) -> None:
        """Cancel deleted moves; one planned again starts at share zero."""
        for name, published in self._published.items():
            progress = published.progress
            is_over = progress.state == "cancelled"
            if name not in self._node.configuration.moves and not is_over:
                published.progress = progress.apply(Cancelled(), read_clock())

    def refresh_members(self) -> None:
        """Update the members that look-ups return."""
        members = self._node.fleet.list_entry_members(read_clock())
        self._directory.replace_members(members)

    def apply_progress(self, progress: MoveProgress, version: int) -> bool:
        """Apply a newer progress of a move; return whether it was newer."""
        known = self._published.get(progress.name)
        if known is not None and version <= known.version:
            return False
        self._published[progress.name] = StoredProgress(progress, version)
        self._rebuild_placement()
        return True

    def find_progress(self, name: str) -> StoredProgress | None:
        """Return the newest known progress of a move."""
        return self._published.get(name)

    def list_progress(self) -> list[StoredProgress]:
        """Return the progress of each configured move that is known."""
        moves = self._node.configuration.moves
        return [p for name, p in self._published.items() if name in moves]

    def list_route_loads(self, region: str) -> dict[str, float]:
        """Return the requests per second of each route from a region."""
        return self._offered.list_rates(region)

    def collect_hints(self, now: float) -> list[MoveHint]:
        """Return this host's measurements of each move since the last call."""
        self._offered.end_interval(now)
        return self._cap_enforcer.collect_hints(
            self._node.local_member.host, now
        )

    def look_up(self, route: str, client: str) -> dict:
        """Return the answer to a look-up.

        Raises `ValueError` if `client` is not an IP address, and
        `RefusalError` for an unknown route.
        """
        address = ClientAddress.parse(client)
        if route not in self._node.configuration.routes:
            detail = f"no route {route!r}"
            raise RefusalError(Reason.UNKNOWN_ROUTE, detail=detail)
        query = LookupQuery(address, route)
        answer = make_answer(
            query, self._locator, self._placement, self._directory
        )
        hosts = [
            {
                "host": member.host,
                "address": member.address,
                "port": member.http_port,
                "zone": member.zone,
            }
            for member in answer.hosts
        ]
        return {"hosts": hosts, "ttl_s": answer.ttl_s}

    async def steer(
        self, route: str, client: ClientAddress
    ) -> SteeringDecision:
        """Count one request and return where moves send it."""
        region = (
            self._locator.find_region(client) or self._node.local_member.region
        )
        self._offered.count(route, region)
        now = read_clock()
        place = self._cap_enforcer.choose_region(
            route, region, client.block, now
        )
        if place.move is not None and place.region == region:
            place = await self._wait_for_token(place)
        if place.region != region:
            return SteeringDecision(place.region)
        targets = self._targets.get((route, region))
        if targets is None:
            return SteeringDecision()
        # A caller may still use a look-up's answer from before a step back,
        # so a request of a block that has not moved prefers its own region,
        # not that of this host.
        return SteeringDecision(region, targets if place.move else frozenset())

    async def _wait_for_token(self, place: Destination) -> Destination:
        """Return where a request runs that found no token at first."""
        move = self._node.configuration.moves.get(place.move)
        budget = self._budgets.get(place.move)
        if move is None or budget is None:
            return place
        if not await budget.wait(read_clock() + _MAX_TOKEN_WAIT_S):
            return place
        self._cap_enforcer.record_moved(place.move)
        return Destination(move.to_region, move.name)

    def _rebuild_placement(self) -> None:
        moves = self._node.configuration.moves
        progresses = {
            name: published.progress
            for name, published in self._published.items()
        }
        shares = collect_shares(moves.values(), progresses)
        self._placement = Placement(moves.values(), shares)
        self._budgets.clear()
        targets: dict[tuple[str, str], set[str]] = {}
        for name, move in moves.items():
            self._budgets[name] = CapBudget(self._admission, name)
            source = (move.route, move.from_region)
            targets.setdefault(source, set()).add(move.to_region)
        self._targets = {
            source: frozenset(regions) for source, regions in targets.items()
        }
        self._cap_enforcer.replace_placement(self._placement, read_clock())
