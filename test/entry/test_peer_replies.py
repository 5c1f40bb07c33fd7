"""Tests of hosts whose peers reply with what they can't use.

A host ended itself as a peer that was stopping replied `Refused` to a
heartbeat; any message of a peer must end no more than its connection.
"""

import asyncio
import math
import traceback
from types import SimpleNamespace
from unittest import mock

from radishstile.entry.admission import ClaimTerms
from radishstile.entry.claims import SlotClient
from radishstile.entry.peers import Peer, Peers
from radishstile.entry.replica import Replica
from radishstile.entry.sources import PeerSource
from radishstile.errors import (
    RefusalError,
    StoreUnavailableError,
    WireError,
)
from radishstile.fleet.leadership import FOLLOW_INTERVAL_S
from radishstile.outcome import Reason
from radishstile.wire.messages.slot import (
    LeadState,
    LentSlots,
    MirrorQuery,
    MirrorReply,
    SlotDenied,
    SlotGranted,
    SlotQueued,
)
from test.entry._faulty_peers import (
    FOREIGN_REPLIES,
    HostilePeer,
    send,
    spoil,
    stay_silent,
)
from test.entry._regions import RegionFleet
from test.entry.test_peers import StubNode
from test.slot._common import SERVICE, make_claim
from test.wire._common import PeerTestCase, make_member, make_settings

NAN = math.nan
TIMES = {"backoff_min_s": 0.05, "backoff_max_s": 0.5}
STATE = LeadState(
    hosts=["b"],
    hosts_digest=7,
    version=3,
    age_s=0.1,
    news_age_s=0.1,
    lead="b",
    loads={SERVICE: [None, 2.0]},
    weight=1,
    clock=5.0,
)
LENT = LentSlots(slots={}, usable={}, tokens={}, is_continued=False)
GRANTED = SlotGranted(upstream_id="i-1", is_warm=False, expected_s=0.5)
MIRROR = MirrorReply(objects=[], revision=7, is_lost=False, has_more=False)
RECORD = ["i-1", 9, {"a": 1}, None, False]


class RepliesTestCase(PeerTestCase):
    """Starts a hostile peer and connects to it."""

    async def asyncSetUp(self):
        self.hostile = HostilePeer()
        self.server = await self.start_server(self.hostile, **TIMES)

    async def dial(self):
        client = self.start_client(self.server.port, **TIMES)
        await client.wait_connected(5)
        return Peer(client, self.now)

    def start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.addAsyncCleanup(self._end, task)
        return task


class HeartbeatTest(RepliesTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        node = StubNode()
        node.local_member = make_member("a")
        node.initialized = asyncio.Event()
        node.initialized.set()
        self.peers = Peers(node, make_settings(**TIMES))
        self.task = self.start_task(self.run_peers())
        await self.wait_until(lambda: self.peers.list_connected())
        self.peer = self.peers.find("b")

    async def run_peers(self):
        async with asyncio.TaskGroup() as group:
            member = make_member("b", self.server.port)
            self.peers.reconcile([member], group)

    async def check_recovery(self, reply):
        """Check that a reply changes nothing, and that good ones count."""
        before = self.peer.state
        self.hostile.reply = reply
        self.hostile.arrivals.clear()
        await asyncio.sleep(4.0)
        self.assertFalse(self.task.done())
        self.assertIs(self.peer.state, before)
        # No busy loop.
        limit = 4.0 / FOLLOW_INTERVAL_S + 2
        self.assertLessEqual(len(self.hostile.arrivals), limit)
        self.assertGreater(len(self.hostile.arrivals), 2)
        self.assertFalse(self.peer.is_usable(self.now))
        self.hostile.reply = send(STATE)
        await self.wait_until(lambda: self.peer.is_usable(self.now), 3.0)

    # Guards against the attribute error that ended hosts.
    async def test_foreign_replies_end_the_exchange_only(self):
        for reply in FOREIGN_REPLIES:
            with self.subTest(reply.__name__):
                await self.check_recovery(reply)
        self.assertGreater(self.peers.counters.wrong_replies, 0)

    # Guards against ages, loads and clocks that no host can have.
    async def test_malformed_states_end_the_connection_only(self):
        for fields in (
            {"loads": {SERVICE: [NAN, 1.0]}},
            {"loads": {SERVICE: 7}},
            {"hosts": [7]},
            {"news_age_s": -1e12},
            {"weight": -1},
            {"clock": math.inf},
            {"hosts_digest": "x"},
        ):
            with self.subTest(str(fields)):
                await self.check_recovery(spoil(STATE, **fields))
        self.assertGreater(self.peers.counters.refused_frames, 0)

    # Guards against a fault of our own that ends the host, and one in which
    # the peer is never connected again.
    async def test_error_in_the_work_for_a_peer_is_logged_and_counted(self):
        self.hostile.reply = send(STATE)
        await self.wait_until(lambda: self.peer.is_usable(self.now))
        accept = self.peers._node.accept_confirmation
        self.peers._node.accept_confirmation = lambda *args: 1 / 0
        with mock.patch("radishstile.entry.peers._LOG") as logger:
            await asyncio.sleep(4.0)
        self.assertFalse(self.task.done())
        logged = logger.error.call_args.kwargs["exc_info"]
        text = "".join(traceback.format_exception(logged))
        self.assertIn("ZeroDivisionError", text)
        failures = self.peers.counters.failed_tasks
        self.assertGreater(failures, 2)
        # No busy loop: a pause of a quarter of a second each at least, after
        # the first few.
        self.assertLess(failures, 4 + 4.0 / 0.25)
        self.peers._node.accept_confirmation = accept
        await self.wait_until(lambda: self.peer.is_usable(self.now), 3.0)

    # Guards against an error as the peer stops before it has replied.
    async def test_peer_that_stops_during_a_heartbeat_is_lost(self):
        self.hostile.reply = stay_silent
        await asyncio.sleep(1.0)
        await self.server.stop()
        await asyncio.sleep(3.0)
        self.assertFalse(self.task.done())
        self.assertTrue(self.peer.is_lost(self.now))


class LoanTest(RepliesTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.fleet = RegionFleet()
        self.leader = self.fleet.leaders["gulf"]
        self.peer = await self.dial()
        self.peer.state = STATE
        self.leader.find_leader_of = self.find_leader
        self.leader.admission.scheduler.loans.lend(
            SERVICE, "delta", 4, self.now
        )
        self.scheduler = self.leader.admission.scheduler

    def find_leader(self, region):
        return self.peer if region == "delta" else None

    async def renew(self, reply):
        """Ask for slots, and return those borrowed."""
        self.hostile.reply = reply
        self.hostile.arrivals.clear()
        await self.peer.client.wait_connected(5)
        self.peer.state.loads = {SERVICE: [1.0, 100.0]}
        await self.leader.loans._renew()
        self.assertEqual(len(self.hostile.arrivals), 1)
        return sum(self.scheduler.loans.list_borrowed("delta").values())

    # Guards against replies that end the host, or slots that nobody has lent.
    async def test_unusable_replies_change_no_loan(self):
        malformed = [
            {"slots": {"delta-80": -5}},
            {"slots": {"delta-80": 1e300}},
            {"slots": {"delta-80": "2"}},
            {"slots": [1]},
            {"usable": {SERVICE: NAN}},
            {"usable": {SERVICE: None}},
            {"tokens": {"w": -math.inf}},
            {"tokens": {"w": NAN}},
        ]
        replies = [spoil(LENT, **fields) for fields in malformed]
        for reply in FOREIGN_REPLIES + replies:
            self.assertEqual(await self.renew(reply), 0)
            self.assertEqual(self.leader.loans._borrowed, {})

    # Guards against a renewal that waits for a stopped leader without bound.
    async def test_leader_that_stops_during_a_renewal_lends_nothing(self):
        renewing = asyncio.create_task(self.renew(stay_silent))
        await asyncio.sleep(0.2)
        await self.server.stop()
        self.assertEqual(await renewing, 0)

    # Guards against an upstream that gets more requests than it has slots.
    async def test_lent_slots_count_up_to_those_of_the_upstream(self):
        name = next(n for n in self.fleet.upstreams if n.startswith("delta"))
        lent = LentSlots(
            slots={name: 1_000_000},
            usable={SERVICE: 1e6},
            tokens={},
            is_continued=False,
        )
        self.assertEqual(await self.renew(send(lent)), 2)


class ClaimTest(RepliesTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.peer = await self.dial()
        self.client = SlotClient(
            SimpleNamespace(find_leader=lambda: self.peer),
            SimpleNamespace(record_rate=lambda *args: None),
            "akl",
        )

    async def claim(self, reply):
        self.hostile.reply = reply
        await self.peer.client.wait_connected(5)
        claim = make_claim("r", now=self.now)
        with self.assertRaises(RefusalError) as caught:
            await self.client.claim(claim, ClaimTerms(False, 0.5))
        self.assertEqual(self.peer.held, set())
        return caught.exception.reason

    # Guards against other errors, with which the caller gets no refusal that
    # names its request as not run.
    async def test_unusable_replies_refuse_the_claim_as_not_run(self):
        denied = SlotDenied(reason="overloaded", retry_after=1.0)
        replies = [
            spoil(GRANTED, expected_s=NAN),
            spoil(GRANTED, expected_s=-1),
            spoil(GRANTED, upstream_id=7),
            spoil(denied, reason="no-such-reason"),
            spoil(denied, retry_after=NAN),
            spoil(SlotQueued(wait_s=1.0), wait_s="long"),
            send(MIRROR),
        ]
        for reply in FOREIGN_REPLIES + replies:
            self.assertIs(await self.claim(reply), Reason.PEER_LOST)

    # Guards against a claim that is lost with its leader without a refusal.
    async def test_leader_that_stops_refuses_pending_claims(self):
        claiming = asyncio.create_task(self.claim(stay_silent))
        await asyncio.sleep(0.2)
        await self.server.stop()
        self.assertIs(await claiming, Reason.PEER_LOST)

    # Guards against denials that are taken for a lost leader.
    async def test_denial_keeps_its_reason(self):
        denied = SlotDenied(reason="overloaded", retry_after=1.0)
        reason = await self.claim(send(denied))
        self.assertIs(reason, Reason.OVERLOADED)


class MirrorTest(RepliesTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.peer = await self.dial()
        self.source = PeerSource(self.peer)

    # Guards against objects that a mirror can't compare or patch.
    async def test_unusable_replies_count_as_an_unavailable_source(self):
        malformed = [
            {"objects": {"a": 1}},
            {"objects": [7]},
            {"objects": [RECORD[:3]]},
            {"objects": [[7, *RECORD[1:]]]},
            {"objects": [["i-1", "9", *RECORD[2:]]]},
            {"objects": [["i-1", 9, b"bytes", None, False]]},
            {"objects": [["i-1", 9, {b"a": 1}, None, False]]},
            {"objects": [["i-1", 9, 5, {}, False, 3]]},
            {"revision": -3},
        ]
        replies = [spoil(MIRROR, **fields) for fields in malformed]
        for number, reply in enumerate(FOREIGN_REPLIES + replies):
            self.hostile.reply = reply
            await self.peer.client.wait_connected(5)
            with (
                self.subTest(number),
                self.assertRaises(StoreUnavailableError),
            ):
                await self.source.watch("servers", 7, 0.5)

    # Guards against a watch that waits for a stopped peer without bound.
    async def test_peer_that_stops_during_a_watch_is_unavailable(self):
        self.hostile.reply = stay_silent
        watching = asyncio.create_task(self.source.watch("servers", 7, 60.0))
        await asyncio.sleep(0.2)
        await self.server.stop()
        with self.assertRaises(StoreUnavailableError):
            await watching
        # The peer's handlers are cancelled after its `stop_timeout_s`.
        self.assertLess(self.now, 31.0)

    # Guards against an error on what a peer sent that ends the host.
    async def test_error_on_the_data_of_a_peer_lists_again(self):
        self.hostile.reply = send(MIRROR)
        failures = []
        peers = SimpleNamespace(
            record_failure=lambda member, error: failures.append(error)
        )
        leadership = SimpleNamespace(
            peers=peers,
            is_leading=False,
            find_source=lambda: self.peer,
            list_initialized=lambda: [self.peer],
        )
        node = SimpleNamespace(measure_store_answer_age=lambda: 0.0)
        replica = Replica(node, leadership)
        listings = []

        def replace(listing):
            listings.append(self.now)
            if len(listings) == 1:
                raise KeyError("of a fault")

        kind = next(iter(replica._mirrors))
        subscriber = SimpleNamespace(kind=kind, replace=replace)
        task = self.start_task(replica._follow(subscriber))
        await self.wait_until(lambda: len(listings) == 2)
        self.assertFalse(task.done())
        self.assertIsInstance(failures[0], KeyError)
        self.assertGreater(listings[1] - listings[0], 0.1)


class StoppingHostTest(PeerTestCase):
    # Guards against a stop that waits for a peer's answer without bound, or
    # that ends with an error.
    async def test_host_stops_while_its_heartbeat_is_pending(self):
        hostile = HostilePeer()
        hostile.reply = stay_silent
        server = await self.start_server(hostile)
        node = StubNode()
        node.local_member = make_member("a")
        node.initialized = asyncio.Event()
        peers = Peers(node, make_settings())

        async def run():
            async with asyncio.TaskGroup() as group:
                peers.reconcile([make_member("b", server.port)], group)

        task = asyncio.create_task(run())
        await self.wait_until(lambda: hostile.arrivals)
        began_at = self.now
        await self._end(task)
        self.assertTrue(task.cancelled())
        self.assertLess(self.now - began_at, 0.1)


class BackOffTest(PeerTestCase):
    # Guards against a busy loop with a peer whose frames are all malformed.
    async def test_malformed_frames_after_each_connect_back_off(self):
        hostile = HostilePeer()
        hostile.reply = spoil(MIRROR, revision=-3)
        query = MirrorQuery(kind="servers", revision=7, wait_s=0.0)
        server = await self.start_server(hostile)
        client = self.start_client(server.port)
        for _ in range(8):
            await client.wait_connected(10)
            with self.assertRaises(WireError):
                await client.call(query, 1.0)
        # Delays are half to all of a limit that doubles from 0.1 s to 5 s.
        self.assertGreater(self.now, (0.1 * 2**6) / 2)
