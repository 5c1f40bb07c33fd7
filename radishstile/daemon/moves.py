"""Runs the moves that this host owns, and distributes their progress."""

import asyncio
import json
import logging

from radishstile.daemon.loads import LoadMonitor
from radishstile.daemon.node import Node, read_clock
from radishstile.daemon.ownership import OwnedResources
from radishstile.daemon.peers import Peer, Peers
from radishstile.daemon.resources import MoveResource
from radishstile.daemon.steering import Steering
from radishstile.errors import PlatformError, VersionConflictError
from radishstile.member import Member
from radishstile.shift.controller import (
    MoveController,
    StepInputs,
    is_hot,
    list_zones,
)
from radishstile.shift.measurements import LoadMeasurements, MoveHint
from radishstile.shift.progress import HoldReason, MoveProgress
from radishstile.shift.throttle import MoveThrottle
from radishstile.wire.messages.fleet import MovePush, MoveReport

_LOG = logging.getLogger("radishstile.moves")
_STEP_INTERVAL_S = 1.0
_STORE_TIMEOUT_S = 3.0
_REPORT_TIMEOUT_S = 1.0


class MoveCoordinator:
    """Reports loads to the owners of moves, and runs the moves owned here.

    Each move that is run here has a task of its own, so a peer that doesn't
    answer delays only the moves that need it.
    """

    __slots__ = (
        "identity",
        "loads",
        "_node",
        "_peers",
        "_owned_resources",
        "_steering",
        "_measurements",
        "_controllers",
        "_throttles",
        "_tasks",
    )

    def __init__(
        self,
        node: Node,
        peers: Peers,
        owned_resources: OwnedResources,
        steering: Steering,
    ):
        host, incarnation = node.local_member.identity
        self.identity = f"{host}#{incarnation}"
        self.loads = LoadMonitor(node, peers, owned_resources)
        self._node = node
        self._peers = peers
        self._owned_resources = owned_resources
        self._steering = steering
        self._measurements = LoadMeasurements(node.settings.moves)
        self._controllers: dict[str, MoveController] = {}
        self._throttles: dict[str, MoveThrottle] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    async def run(self) -> None:
        """Report, and run each move that this host owns."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.loads.run())
            group.create_task(self._run_reports())
            while True:
                self._start_controllers(group)
                self._forget_ended_hosts()
                await asyncio.sleep(_STEP_INTERVAL_S)

    def list_moved_rates(self) -> dict[str, float]:
        """Return the moved requests per second of each move run here."""
        moved = {}
        for name in self._controllers:
            load = self._measurements.read_move(name, read_clock())
            if load is not None:
                moved[name] = load.moved_per_s
        return moved

    async def find_moved_rate(self, name: str) -> float:
        """Return the moved requests per second, queried from the owner."""
        owner = self._node.fleet.find_owner(MoveResource(name).name)
        if owner is None:
            return 0.0
        if owner == self._node.local_member:
            return self.list_moved_rates().get(name, 0.0)
        reply = await self.loads.query(owner)
        return 0.0 if reply is None else reply.moved.get(name, 0.0)

    def record_hint(self, hint: MoveHint) -> None:
        """Record what a host measured of a move that is run here."""
        self._measurements.add(hint, read_clock())

    def apply_progress(self, progress: MoveProgress, version: int) -> None:
        """Apply progress if it is newer, and push it to every peer."""
        if self._steering.apply_progress(progress, version):
            self._peers.wake_all()

    async def push_to(self, peer: Peer) -> None:
        """Send a peer the progress that it does not have yet."""
        for published in self._steering.list_progress():
            progress = published.progress
            version = published.version
            if peer.move_versions.get(progress.name, 0) >= version:
                continue
            record = json.dumps(progress.to_record()).encode()
            await peer.client.notify(
                MovePush(name=progress.name, version=version, record=record)
            )
            peer.move_versions[progress.name] = version

    # Reporting

    async def _run_reports(self) -> None:
        while True:
            members = len(self._node.fleet.roster.members)
            settings = self._node.settings.moves
            await asyncio.sleep(settings.choose_interval(members))
            await self._report_to_owners()

    async def _report_to_owners(self) -> None:
        rows: dict[Member, list] = {}
        for hint in self._steering.collect_hints(read_clock()):
            owner = self._node.fleet.find_owner(MoveResource(hint.move).name)
            if owner == self._node.local_member:
                self.record_hint(hint)
            elif owner is not None:
                row = [getattr(hint, name) for name in hint.__slots__]
                rows.setdefault(owner, []).append(row)
        await asyncio.gather(
            *(self._send_report(*item) for item in rows.items())
        )

    async def _send_report(self, owner: Member, rows: list) -> None:
        try:
            async with asyncio.timeout(_REPORT_TIMEOUT_S):
                await self._peers.notify(owner, MoveReport(rows=rows))
        except TimeoutError:
            _LOG.debug("moves: Reporting to %s timed out.", owner.host)

    def _forget_ended_hosts(self) -> None:
        """Drop hints of ended hosts; once stale they keep the load unknown."""
        fleet = self._node.fleet
        live = {
            member.host
            for identity, member in fleet.roster.members.items()
            if fleet.find_end_evidence(identity) is None
        }
        live |= {m.host for m in fleet.list_entry_members(read_clock())}
        for source in self._measurements.list_sources() - live:
            self._measurements.remove_source(source)

    # Running moves

    def _start_controllers(self, group: asyncio.TaskGroup) -> None:
        for name in self._node.configuration.moves:
            task = self._tasks.get(name)
            if self._is_owner(name) and (task is None or task.done()):
                self._tasks[name] = group.create_task(self._run_move(name))

    def _is_owner(self, name: str) -> bool:
        return self._node.fleet.is_owner(MoveResource(name).name)

    async def _run_move(self, name: str) -> None:
        """Run one move until it is cancelled or has another owner."""
        move = self._node.configuration.moves[name]
        controller = MoveController(self.identity, move, read_clock())
        self._controllers[name] = controller
        # The store's object is unknown until it has been read.
        is_loaded = False
        try:
            while self._is_pending(name):
                is_loaded = await self._step(controller, is_loaded)
                await asyncio.sleep(_STEP_INTERVAL_S)
        except Exception:
            # One move must not stop the others; it is started again.
            _LOG.exception("moves: Running move %s failed.", name)
        finally:
            del self._controllers[name]
            await self._release_throttle(name)

    def _is_pending(self, name: str) -> bool:
        """Return whether a move still needs work here.

        A deleted move has no owner any more, so its last owner publishes
        that it was cancelled.
        """
        if name in self._node.configuration.moves:
            return self._is_owner(name)
        return self._controllers[name].progress.state != "cancelled"

    async def _step(self, controller: MoveController, is_loaded: bool) -> bool:
        """Run one step; return whether the store's object is known."""
        await self._measure_target(controller.progress.name)
        if not is_loaded:
            is_loaded = await self._load(controller)
        inputs = StepInputs(
            self._node.configuration,
            self._measurements,
            self._node.settings.moves,
            read_clock(),
        )
        progress = controller.decide(inputs)
        await self._adjust_throttle(controller, progress)
        if progress is None or not is_loaded:
            return is_loaded
        return await self._publish(controller, progress)

    async def _load(self, controller: MoveController) -> bool:
        """Load the published progress from the store, or the local copy."""
        name = controller.progress.name
        try:
            async with asyncio.timeout(_STORE_TIMEOUT_S):
                stored = await self._node.store.read(_make_object_name(name))
        except (PlatformError, TimeoutError) as error:
            _LOG.warning(
                "moves: The store is unavailable for %s: %s", name, error
            )
            self._load_local(controller)
            return False
        if stored is not None:
            controller.load(stored.value, stored.version, read_clock())
            self.apply_progress(controller.progress, stored.version)
        return True

    def _load_local(self, controller: MoveController) -> None:
        local = self._steering.find_progress(controller.progress.name)
        if local is not None and local.version > controller.version:
            record = local.progress.to_record()
            controller.load(record, local.version, read_clock())

    async def _publish(
        self, controller: MoveController, progress: MoveProgress
    ) -> bool:
        """Write the progress; return whether the store's object is known."""
        name = progress.name
        try:
            async with asyncio.timeout(_STORE_TIMEOUT_S):
                version = await self._node.store.update(
                    _make_object_name(name),
                    progress.to_record(),
                    controller.version,
                )
        except VersionConflictError:
            return False
        except (PlatformError, TimeoutError) as error:
            _LOG.warning(
                "moves: The store is unavailable for %s: %s", name, error
            )
            return False
        controller.accept(progress, version)
        self.apply_progress(progress, version)
        _LOG.info(
            "moves: %s is %s at share %.3f.",
            name,
            progress.state,
            progress.share,
        )
        return True

    async def _measure_target(self, name: str) -> None:
        """Query the owners of the target's slots for their load."""
        configuration = self._node.configuration
        move = configuration.moves.get(name)
        if move is None:
            return
        group = configuration.routes[move.route].group
        for hint in await self.loads.query_region(move.to_region, group):
            self._measurements.add(hint, read_clock())

    # Throttling

    async def _adjust_throttle(
        self, controller: MoveController, progress: MoveProgress | None
    ) -> None:
        """Throttle a move to a hot target, and relax that as it cools."""
        name = controller.progress.name
        if name not in self._node.configuration.moves:
            return
        if progress is not None and _is_step_back(progress):
            await self._tighten_throttle(
                name, controller.progress.share, progress.share
            )
        elif name in self._throttles and self._is_target_cool(name):
            await self._relax_throttle(name)

    async def _tighten_throttle(
        self, name: str, old: float, new: float
    ) -> None:
        now = read_clock()
        throttle = self._throttles.get(name)
        if throttle is None:
            throttle = MoveThrottle(
                self._find_rate(name), self._node.settings.moves
            )
            self._throttles[name] = throttle
        if throttle.lower(1 - new / old, now):
            await self._owned_resources.throttle_move(
                name, throttle.rate_per_s
            )
            _LOG.info(
                "moves: %s is throttled to %.1f/s.", name, throttle.rate_per_s
            )

    def _find_rate(self, name: str) -> float:
        """Return the current rate, or the cap if the rate is unknown."""
        cap_per_s = self._node.configuration.moves[name].cap_per_s
        load = self._measurements.read_move(name, read_clock())
        return cap_per_s if load is None else min(cap_per_s, load.moved_per_s)

    def _is_target_cool(self, name: str) -> bool:
        configuration = self._node.configuration
        move = configuration.moves[name]
        group = configuration.routes[move.route].group
        zones = list_zones(configuration, move.to_region, group)
        target = self._measurements.read_target(zones, group, read_clock())
        settings = self._node.settings.moves
        return target is not None and not is_hot(target, settings)

    async def _relax_throttle(self, name: str) -> None:
        throttle = self._throttles[name]
        cap_per_s = self._node.configuration.moves[name].cap_per_s
        if not throttle.increase(cap_per_s, read_clock()):
            return
        if throttle.rate_per_s >= cap_per_s:
            await self._release_throttle(name)
            return
        await self._owned_resources.throttle_move(name, throttle.rate_per_s)

    async def _release_throttle(self, name: str) -> None:
        if self._throttles.pop(name, None) is not None:
            await self._owned_resources.throttle_move(name, None)


def _is_step_back(progress: MoveProgress) -> bool:
    return progress.state == "held" and progress.reason == HoldReason.HOT.value


def _make_object_name(name: str) -> str:
    return f"moves/{name}"
