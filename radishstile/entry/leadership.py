"""Choice of the host's leader, and its followers while it leads."""

import asyncio
import logging

from radishstile.entry.admission import AdmissionController
from radishstile.entry.logs import log_fields
from radishstile.entry.node import EntryNode, read_boottime_clock, read_clock
from radishstile.entry.peers import Peer, Peers
from radishstile.fleet.leadership import (
    FOLLOW_INTERVAL_S,
    Candidate,
    Followers,
    FreshHosts,
    choose_dialled_hosts,
    choose_leader,
    choose_leader_source,
    choose_source,
    digest_hosts,
)
from radishstile.fleet.parts import (
    LEASE_S,
    HeldParts,
    PartLease,
    measure_share,
)
from radishstile.member import Member
from radishstile.wire.messages.slot import FollowLead, LeadState

_LOG = logging.getLogger("radishstile.leadership")

# First hosts of each remote region that a leader stays connected to.
DIALLED_REMOTE_HOSTS = 2


class Leadership:
    """Follows the region's leader, and tracks the followers of this host."""

    __slots__ = (
        "followers",
        "parts",
        "peers",
        "_node",
        "_admission",
        "_leader",
        "_followed_at",
        "_shares",
        "_fresh_hosts",
        "_hosts_changed",
        "_changed",
    )

    def __init__(
        self, node: EntryNode, admission: AdmissionController, peers: Peers
    ):
        self.followers = Followers()
        self.parts = HeldParts()
        self.peers = peers
        self._node = node
        self._admission = admission
        self._leader = ""
        # The loop's time at which the leader was chosen.
        self._followed_at = 0.0
        self._shares = (0.0, 0.0)
        self._fresh_hosts = FreshHosts()
        self._hosts_changed = asyncio.Event()
        # Set when the leader or the registered hosts have changed.
        self._changed = asyncio.Event()

    @property
    def is_leading(self) -> bool:
        """Return whether this host follows itself."""
        return self._leader == self._node.local_member.host

    @property
    def followed_at(self) -> float:
        """Return the loop's time, in seconds, when the leader was chosen."""
        return self._followed_at

    async def run(self) -> None:
        """Keep the peers, the leader and this host's shares up to date."""
        async with asyncio.TaskGroup() as group:
            while True:
                self.peers.reconcile(self._list_wanted_peers(), group)
                self.find_leader()
                self.update_shares()
                self._hosts_changed.clear()
                try:
                    async with asyncio.timeout(self._choose_pause()):
                        await self._hosts_changed.wait()
                except TimeoutError:
                    continue

    def _choose_pause(self) -> float:
        """Return the seconds until the next update is due at the latest."""
        left_s = self.parts.find_next_end() - read_boottime_clock()
        return max(0.0, min(FOLLOW_INTERVAL_S / 2, left_s))

    def notify_hosts_changed(self) -> None:
        """Request an update after the registered hosts changed."""
        self._hosts_changed.set()
        self._changed.set()

    async def wait_change(self) -> None:
        """Wait until the leader or the registered hosts change."""
        self._changed.clear()
        await self._changed.wait()

    def list_serving(self) -> list[str]:
        """Return the region's hosts that serve callers."""
        leader = self.find_leader()
        if leader is None:
            return self.followers.list_serving(read_clock())
        return leader.state.hosts

    def find_leader(self) -> Peer | None:
        """Return the peer to follow, or None if this host leads."""
        return self._find_leader(self._list_candidates())

    def _find_leader(self, candidates: list[Candidate]) -> Peer | None:
        name = choose_leader(candidates)
        if name != self._leader:
            self._log_change(name, candidates)
            self._follow(name)
        if self.is_leading:
            return None
        return self.peers.find(name)

    def find_source(self) -> Peer | None:
        """Return the peer to read the store through, or None for directly."""
        local = self._list_candidates()
        leader = self._find_leader(local)
        if leader is None:
            name = choose_leader_source(
                Candidate(
                    self._node.local_member.host,
                    True,
                    self._node.measure_store_answer_age(),
                ),
                local,
                self._list_remote_leaders(),
            )
            return self.peers.find(name)
        name = choose_source(
            local,
            self._node.local_member.host,
            self._leader,
            read_clock() - self._followed_at,
        )
        return leader if name == self._leader else self.peers.find(name)

    def list_initialized(self) -> list[Peer]:
        """Return the usable peers of this region that have a configuration."""
        region = self._node.local_member.region
        return [p for p in self.peers.list_usable(region) if p.state.version]

    def find_leader_of(self, region: str) -> Peer | None:
        """Return the usable peer that leads a region, if any.

        Of several, it is the one with most followers.
        """
        leaders = [
            peer
            for peer in self.peers.list_usable(region)
            if peer.state.lead == peer.member.host
        ]
        return max(leaders, key=lambda p: p.state.weight, default=None)

    def answer_heartbeat(
        self, message: FollowLead, member: Member
    ) -> LeadState:
        """Return this host's state, and count the sender if it follows."""
        now = read_clock()
        host = member.host
        node = self._node
        if message.follows:
            self.followers.record_heartbeat(host, message.is_leaving, now)
        else:
            self.followers.drop(host)
        clock = read_boottime_clock()
        self._record_part(message, member, clock)
        self._fresh_hosts.record(host, message.news_age_s, now)
        # The sender measured that age after it received the echoed clock,
        # so the time is never too recent. A clock that is ahead was not sent
        # by this process.
        echo = min(message.echo, clock)
        node.accept_confirmation(message.version, echo - message.age_s)
        self.update_shares()
        weight = len(self.followers.list_live(now))
        # Only leaders of other regions use loads; followers are many.
        loads = {}
        if not message.follows:
            loads = self._admission.scheduler.loans.measure_loads(weight)
        serving = self.followers.list_serving(now)
        digest = digest_hosts(serving)
        return LeadState(
            hosts=[] if message.hosts_digest == digest else serving,
            hosts_digest=digest,
            version=node.catalog.version if node.catalog else 0,
            age_s=node.measure_confirmation_age(),
            news_age_s=node.measure_store_data_age(),
            lead="" if node.is_leaving else self._leader,
            loads={
                name: [load.demand, load.capacity]
                for name, load in loads.items()
            },
            weight=weight,
            clock=clock,
        )

    def _record_part(
        self, message: FollowLead, member: Member, clock: float
    ) -> None:
        """Hold the part that a heartbeat lends, or give it up."""
        order = (member.incarnation, message.number)
        if not message.lends:
            self.parts.give_up(member.host, order)
            return
        until = min(message.echo, clock) + LEASE_S
        lease = PartLease(until, message.is_settled)
        self.parts.record(member.host, order, lease)

    def update_shares(self) -> None:
        """Set this host's shares of slots and rates from its followers."""
        now = read_clock()
        node = self._node
        if self.is_leading:
            self.followers.record_heartbeat(
                node.local_member.host, node.is_leaving, now
            )
        self.peers.release_ended()
        self._lend_to_self()
        clock = read_boottime_clock()
        held = self.parts.list_held(clock)
        settled = self.parts.list_settled(clock)
        owners = node.hosts.list_owners(node.settling_s, now)
        local = {member.host for member in node.list_region_hosts()}
        region = measure_share(held, local) if node.hosts.is_loaded else 0.0
        fleet = measure_share(settled, owners) if settled else 0.0
        if (region, fleet) == self._shares:
            return
        self._shares = (region, fleet)
        self._admission.resize(region, fleet)
        _LOG.info(
            "leadership: Shares of slots and rates changed.",
            extra=log_fields(
                followers=self.followers.list_live(now),
                parts=sorted(held),
                rate_parts=len(settled),
                share=round(region, 3),
                rate_share=round(fleet, 3),
                owners=len(owners),
            ),
        )

    def _lend_to_self(self) -> None:
        """Hold this host's own part while it leads and the part is free."""
        host = self._node.local_member.host
        clock = read_boottime_clock()
        part = self.peers.part
        if self.is_leading and part.try_lend(host, clock, clock):
            order = (self._node.local_member.incarnation, 0)
            lease = PartLease(clock + LEASE_S, self._node.is_settled())
            self.parts.record(host, order, lease)

    def _list_candidates(self) -> list[Candidate]:
        now = read_clock()
        members = self._node.list_region_hosts()
        if self._node.is_leaving:
            # It leads only itself, if no other host can be reached.
            local = self._node.local_member
            members = [m for m in members if m != local] + [local]
        return [self._make_candidate(member, now) for member in members]

    def _list_remote_leaders(self) -> list[Candidate]:
        """Return the reachable leaders of remote regions."""
        now = read_clock()
        leaders = map(self.find_leader_of, self._node.hosts.list_regions())
        return [
            Candidate(
                leader.member.host, True, leader.measure_store_data_age(now)
            )
            for leader in leaders
            if leader is not None
            and leader.member.region != self._node.local_member.region
        ]

    def _make_candidate(self, member: Member, now: float) -> Candidate:
        if member.host == self._node.local_member.host:
            age_s = self._node.measure_store_data_age()
            return Candidate(member.host, True, age_s)
        peer = self.peers.find(member.host)
        if peer is None or not peer.is_usable(now):
            return Candidate(member.host, False, 0.0)
        return Candidate(member.host, True, peer.measure_store_data_age(now))

    def _log_change(self, name: str, candidates: list[Candidate]) -> None:
        previous = [c for c in candidates if c.host == self._leader]
        _LOG.info(
            "leadership: Leader changed.",
            extra=log_fields(
                before=self._leader,
                before_reachable=any(c.is_reachable for c in previous),
                before_news_age_s=round(
                    sum(c.store_data_age_s for c in previous), 3
                ),
                lead=name,
            ),
        )

    def _follow(self, name: str) -> None:
        self._leader = name
        self._followed_at = read_clock()
        self._changed.set()
        self.peers.follow(name)
        if not self.is_leading:
            local_host = self._node.local_member.host
            self.followers.drop(local_host)
            self.parts.drop(local_host)
            self.peers.part.release(local_host)
        self.update_shares()

    def _list_wanted_peers(self) -> list[Member]:
        node = self._node
        local = {
            m.host: m
            for m in node.list_region_hosts()
            if m.host != node.local_member.host
        }
        names = list(local)
        dialled = choose_dialled_hosts(
            names,
            self.peers.list_contacts(node.local_member.region),
            self._fresh_hosts.find_first(names, read_clock()),
        )
        wanted = [local[host] for host in dialled]
        if not self.is_leading:
            return wanted
        for region in node.hosts.list_regions():
            if region != node.local_member.region:
                wanted += self._list_wanted_remote(region)
        return wanted

    def _list_wanted_remote(self, region: str) -> list[Member]:
        """Return a remote region's first candidates and their leaders."""
        leaders = {p.state.lead for p in self.peers.list_usable(region)}
        return [
            member
            for number, member in enumerate(
                self._node.hosts.list_leader_order(region)
            )
            if number < DIALLED_REMOTE_HOSTS or member.host in leaders
        ]
