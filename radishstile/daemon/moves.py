"""Drives the moves that this host is home of, and spreads their progress."""

import asyncio
import json
import logging

from radishstile.daemon.homes import Homes
from radishstile.daemon.node import Node, read_clock
from radishstile.daemon.peers import Peer, Peers
from radishstile.daemon.resources import MoveResource, SlotsResource
from radishstile.daemon.steering import Steering
from radishstile.errors import (
    PlatformError,
    RefusalError,
    VersionConflictError,
    WireError,
)
from radishstile.member import Member
from radishstile.shift.driver import MoveDriver, StepInputs, list_zones
from radishstile.shift.measures import Measures, MoveHint, TargetHint
from radishstile.shift.progress import MoveProgress
from radishstile.wire.messages.fleet import (
    LoadQuery,
    LoadReply,
    MovePush,
    MoveReport,
)
from radishstile.wire.refusals import raise_refusal

_LOG = logging.getLogger("radishstile.moves")
_INTERVAL_S = 1.0
_ASK_TIMEOUT_S = 1.0


class Moves:
    """Reports loads to the homes of moves, and is such a home itself."""

    __slots__ = (
        "identity",
        "_node",
        "_peers",
        "_homes",
        "_steering",
        "_measures",
        "_drivers",
        "_is_loaded",
    )

    def __init__(
        self, node: Node, peers: Peers, homes: Homes, steering: Steering
    ):
        host, incarnation = node.me.identity
        self.identity = f"{host}#{incarnation}"
        self._node = node
        self._peers = peers
        self._homes = homes
        self._steering = steering
        self._measures = Measures(node.settings.moves)
        self._drivers: dict[str, MoveDriver] = {}
        self._is_loaded: set[str] = set()

    async def run(self) -> None:
        """Report and drive once a second."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            await self._report()
            for name in list(self._node.configuration.moves):
                await self._drive(name)

    def list_loads(self) -> list[list]:
        """Return a row of `TargetHint` fields for each home of slots here."""
        rows = []
        for slots in self._homes.list_slots():
            hints = slots.dispatcher.hints()
            resource = slots.resource
            busy = hints.slots - hints.free
            room = [hints.free, busy, hints.queued, slots.rate_per_s]
            rows.append([resource.zone, resource.group, *room])
        return rows

    def list_moved(self) -> dict[str, float]:
        """Return the moved requests a second of each move driven here."""
        moved = {}
        for name in self._drivers:
            load = self._measures.read_move(name, read_clock())
            if load is not None:
                moved[name] = load.moved_per_s
        return moved

    async def find_moved(self, name: str) -> float:
        """Return the moved requests a second, asked of the move's home."""
        home = self._node.fleet.find_home(MoveResource(name).name)
        if home is None:
            return 0.0
        reply = await self._ask_loads(home)
        return 0.0 if reply is None else reply.moved.get(name, 0.0)

    def take_hint(self, hint: MoveHint) -> None:
        """Take in what a host saw of a move that is driven here."""
        self._measures.add(hint, read_clock())

    def take_progress(self, progress: MoveProgress, version: int) -> None:
        """Use a newer progress, and let every peer have it."""
        if self._steering.take_progress(progress, version):
            self._peers.notify()

    async def push_to(self, peer: Peer) -> None:
        """Send a peer the progress that it does not have."""
        for published in self._steering.list_progress():
            progress = published.progress
            version = published.version
            if peer.move_versions.get(progress.name, 0) >= version:
                continue
            record = json.dumps(progress.to_record()).encode()
            await peer.client.tell(
                MovePush(name=progress.name, version=version, record=record)
            )
            peer.move_versions[progress.name] = version

    async def _report(self) -> None:
        now = read_clock()
        for hint in self._steering.take_hints(now):
            home = self._node.fleet.find_home(MoveResource(hint.move).name)
            if home is None:
                continue
            if home == self._node.me:
                self.take_hint(hint)
                continue
            row = [getattr(hint, name) for name in hint.__slots__]
            await self._peers.tell(home, MoveReport(rows=[row]))

    async def _drive(self, name: str) -> None:
        if not self._node.fleet.is_home(MoveResource(name).name):
            self._drivers.pop(name, None)
            self._is_loaded.discard(name)
            return
        try:
            await self._step(name)
        except PlatformError as error:
            _LOG.warning("moves: %s waits for the store: %s", name, error)
            self._is_loaded.discard(name)

    async def _step(self, name: str) -> None:
        move = self._node.configuration.moves[name]
        driver = self._drivers.get(name)
        if driver is None:
            driver = MoveDriver(self.identity, move, read_clock())
            self._drivers[name] = driver
        if name not in self._is_loaded:
            await self._load(driver)
        await self._measure(name)
        if name not in self._node.configuration.moves:
            return
        inputs = StepInputs(
            self._node.configuration,
            self._measures,
            self._node.settings.moves,
            read_clock(),
        )
        progress = driver.decide(inputs)
        if progress is not None:
            await self._publish(driver, progress)

    async def _load(self, driver: MoveDriver) -> None:
        name = driver.progress.name
        stored = await self._node.store.read(_name_object(name))
        if stored is not None:
            driver.load(stored.value, stored.version, read_clock())
            self.take_progress(driver.progress, stored.version)
        self._is_loaded.add(name)

    async def _publish(
        self, driver: MoveDriver, progress: MoveProgress
    ) -> None:
        name = progress.name
        record = progress.to_record()
        try:
            version = await self._node.store.update(
                _name_object(name), record, driver.version
            )
        except VersionConflictError:
            self._is_loaded.discard(name)
            return
        driver.accept(progress, version)
        self.take_progress(progress, version)
        _LOG.info(
            "moves: %s is %s at share %.3f.",
            name,
            progress.state,
            progress.share,
        )

    async def _measure(self, name: str) -> None:
        """Ask the homes of the target's slots for their load."""
        configuration = self._node.configuration
        move = configuration.moves[name]
        group = configuration.routes[move.route].group
        homes: set[Member] = set()
        for zone in list_zones(configuration, move.to_region, group):
            resource = SlotsResource(group, zone).name
            home = self._node.fleet.find_home(resource)
            if home is not None:
                homes.add(home)
        for home in homes:
            asked_at = read_clock()
            reply = await self._ask_loads(home)
            if reply is None:
                continue
            for row in reply.rows:
                # Dated from the question, so a late answer looks old.
                self._measures.add(TargetHint(*row), asked_at)

    async def _ask_loads(self, home: Member) -> LoadReply | None:
        if home == self._node.me:
            return LoadReply(rows=self.list_loads(), moved=self.list_moved())
        try:
            reply = await self._peers.ask(home, LoadQuery(), _ASK_TIMEOUT_S)
            raise_refusal(reply)
        except (WireError, RefusalError, TimeoutError) as error:
            _LOG.debug("moves: No load of %s: %s", home.host, error)
            return None
        return reply


def _name_object(name: str) -> str:
    return f"moves/{name}"
