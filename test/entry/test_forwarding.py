"""Tests of whole requests through one entry host on loopback."""

import asyncio
import copy
from unittest.mock import patch

import orjson

from radishstile.entry import callers, connection_pool
from standin.object_store import FailureMode
from test.entry._common import (
    CONFIGURATION,
    Caller,
    PlatformTestCase,
    Upstream,
    answer_at_length,
    answer_other_request,
    answer_twice,
    fail,
    fail_at_length,
    make_answer,
    omit_stamp,
    reject,
    repeat_refusal,
    repeat_refusal_without_id,
    send_head_without_end,
    stop_within_head,
    truncate,
)


def raise_error(*_):
    raise KeyError("odd")


def make_odd(status):
    return lambda head: make_answer(head.headers["x-request-id"], status)


_open = connection_pool._open


async def fail_at_odd(stream, upstream):
    if upstream.upstream_id == "i-odd":
        raise KeyError("odd")
    await _open(stream, upstream)


class ForwardingTest(PlatformTestCase):
    def list_runs(self):
        return [run for u in self.upstreams for run in u.runs]

    async def test_forwards_a_request(self):
        answer = await self.ask("/read/1?x=2")
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        self.assertEqual(answer.headers["x-response-stamp"], "s")
        (run,) = self.list_runs()
        self.assertEqual(run.target, b"/read/1?x=2")
        self.assertEqual(run.headers["x-tenant"], "bureau")
        self.assertNotIn("authorization", run.headers)

    async def test_refuses_without_a_route_or_a_key(self):
        self.assertEqual((await self.ask("/none/")).status, 404)
        self.assertEqual((await self.ask(key="")).status, 401)
        self.assertEqual((await self.ask(key="other")).status, 401)
        self.assertEqual(self.list_runs(), [])

    async def test_revoked_key_is_refused_on_an_open_connection(self):
        async with Caller(self.host) as caller:
            caller.send()
            self.assertEqual((await caller.receive()).status, 200)
            tenants = {"bureau": {"api_keys": ["key-2"]}}
            changed = {**CONFIGURATION, "version": "r2", "tenants": tenants}
            self.store.put("config", "main", changed)
            await asyncio.sleep(0.2)
            caller.send()
            self.assertEqual((await caller.receive()).status, 401)

    async def test_older_configuration_is_ignored(self):
        node = self.host.entry.node
        self.store.put("config", "main", {**CONFIGURATION, "version": "r0"})
        await asyncio.sleep(0.2)
        self.assertEqual(node.catalog.version, 1)

    async def test_pipelined_requests_are_concurrent_and_answered_in_order(
        self,
    ):
        for upstream in self.upstreams:
            upstream.delay_s = 0.2
        loop = asyncio.get_running_loop()
        async with Caller(self.host) as caller:
            began_at = loop.time()
            for _ in range(4):
                caller.send()
            answers = [await caller.receive() for _ in range(4)]
        ids = [answer.headers["x-request-id"] for answer in answers]
        self.assertEqual(ids, ["q1", "q2", "q3", "q4"])
        self.assertLess(loop.time() - began_at, 0.6)

    async def test_retries_at_another_upstream_after_a_rejection(self):
        for upstream in self.upstreams:
            upstream.answers = [reject]
        self.upstreams[0].answers = [reject]
        self.upstreams[1].answers = []
        for target in ("/read/1", "/order/1"):
            answer = await self.ask(target, method="POST", body=b"x")
            self.assertEqual(answer.status, 200)

    async def test_request_that_all_upstreams_shed_gets_retry_after(self):
        for upstream in self.upstreams:
            upstream.answers = [reject]
        answer = await self.ask("/order/1", method="POST", body=b"x")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    async def test_retries_only_idempotent_requests_that_may_have_run(self):
        for fault in (truncate, fail, omit_stamp):
            for target, runs in (("/read/1", 2), ("/order/1", 1)):
                for upstream in self.upstreams:
                    upstream.runs.clear()
                    upstream.answers = [fault]
                with self.subTest(fault=fault.__name__, target=target):
                    answer = await self.ask(target, method="POST", body=b"x")
                    self.assertEqual(len(self.list_runs()), runs)
                    self.assertNotIn(answer.status, (200, 429, 503))

    # A head that breaks off must not reach the caller as a whole answer.
    async def test_answer_that_stops_within_its_head_is_no_success(self):
        for upstream in self.upstreams:
            upstream.answers = [stop_within_head] * 4
        order = await self.ask("/order/1", method="POST", body=b"x")
        self.assertEqual((order.status, len(self.list_runs())), (502, 1))
        self.assertEqual((await self.ask("/read/1")).status, 502)
        self.upstreams[0].answers = [stop_within_head]
        self.upstreams[1].answers = []
        self.assertEqual((await self.ask("/read/2")).body, b"done")

    async def test_answer_with_status_000_is_none(self):
        # Guards against an answer of an upstream in trouble that is passed on,
        # or waited for until the deadline.
        for status in ("000", "099", "199", "600", "999"):
            for method in ("GET", "POST"):
                for upstream in self.upstreams:
                    upstream.answers = [make_odd(status)] * 2
                began_at = asyncio.get_running_loop().time()
                answer = await self.ask(method=method)
                took_s = asyncio.get_running_loop().time() - began_at
                with self.subTest((status, method)):
                    self.assertEqual(answer.status, 502)
                    self.assertNotIn("x-response-stamp", answer.headers)
                    self.assertLess(took_s, 1.0)

    async def test_unsolicited_answer_is_discarded(self):
        for upstream in self.upstreams:
            upstream.answers = [answer_twice, answer_other_request]
        for number in range(6):
            answer = await self.ask(request_id=f"r{number}")
            self.assertEqual(answer.body, b"done")
            self.assertEqual(answer.headers["x-request-id"], f"r{number}")

    async def test_order_is_not_refused_by_an_earlier_refusal(self):
        """Guards against an upstream that sends an old refusal once more.

        It precedes the answer to an order that runs. A caller that took it
        for its own would send the order again, or another upstream would run
        it, too.
        """
        for upstream in self.upstreams:
            upstream.answers = [reject]
        refused = await self.ask("/order/0", method="POST", body=b"x")
        self.assertEqual(refused.status, 503)
        for repeat in (repeat_refusal, repeat_refusal_without_id):
            for upstream in self.upstreams:
                upstream.runs.clear()
                upstream.answers = [repeat]
            with self.subTest(repeat=repeat.__name__):
                answer = await self.ask("/order/1", method="POST", body=b"x")
                self.assertEqual((answer.status, answer.body), (200, b"done"))
                self.assertEqual(len(self.list_runs()), 1)

    async def test_head_without_end_does_not_hold_the_request(self):
        for upstream in self.upstreams:
            upstream.answers = [send_head_without_end]
        began_at = asyncio.get_running_loop().time()
        answer = await self.ask("/order/1", method="POST", body=b"x")
        self.assertEqual(answer.status, 502)
        self.assertLess(asyncio.get_running_loop().time() - began_at, 1.0)
        self.assertEqual(self.host.entry.count_held_slots(), 0)

    async def test_long_failure_that_is_retried_frees_its_slot(self):
        """Guards against the first attempt's slot and connection held on."""
        self.upstreams[0].answers = [fail_at_length]
        self.upstreams[1].answers = [fail_at_length]
        await self.ask()
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.list_runs()), 2)
        self.assertEqual(self.host.entry.count_held_slots(), 0)

    async def test_long_answer_whose_caller_left_frees_its_slot(self):
        """Guards against a caller that leaves while its answer waits.

        It waits behind that to an earlier request of the same connection.
        """
        slow, fast = self.upstreams
        slow.delay_s = 1.0
        self.register(fast, state="draining")
        await asyncio.sleep(0.1)
        async with Caller(self.host) as caller:
            caller.send()
            await asyncio.sleep(0.1)
            self.register(fast)
            self.register(slow, state="draining")
            await asyncio.sleep(0.1)
            fast.answers = [answer_at_length]
            caller.send()
            await asyncio.sleep(0.2)
            self.assertEqual(len(fast.runs), 1)
            caller.disconnect()
            await asyncio.sleep(0.1)
        self.assertEqual(self.host.entry.count_held_slots(), 0)

    async def test_disconnect_of_the_caller_cancels_its_request(self):
        for upstream in self.upstreams:
            upstream.delay_s = 0.3
        async with Caller(self.host) as caller:
            caller.send()
            await asyncio.sleep(0.1)
            caller.disconnect()
        await asyncio.sleep(0.4)
        self.assertEqual(sum(u.closed_connections for u in self.upstreams), 1)
        self.assertEqual(self.host.entry.count_held_slots(), 0)

    async def test_requests_of_a_caller_that_has_left_are_not_started(self):
        # Guards against a connection whose end isn't seen while its next
        # request waits for earlier ones (review/15).
        configuration = copy.deepcopy(CONFIGURATION)
        route = configuration["routes"]["r-read"]
        route |= {"timeout_s": 9, "target_latency_s": 5}
        self.store.put("config", "main", {**configuration, "version": "r2"})
        await asyncio.sleep(0.2)
        for upstream in self.upstreams:
            upstream.delay_s = 1.0
        async with Caller(self.host) as caller:
            for _ in range(2 * callers.PIPELINE_LIMIT):
                caller.send(deadline_ms=9000)
            for _ in range(90):
                await asyncio.sleep(0.01)
                if len(self.list_runs()) == 8:
                    break
            caller.disconnect()
        await asyncio.sleep(2.0)
        self.assertEqual(len(self.list_runs()), 8)
        self.assertEqual(self.host.entry.count_held_slots(), 0)

    async def test_route_timeout_is_answered_with_504(self):
        for upstream in self.upstreams:
            upstream.delay_s = 9
        answer = await self.ask("/order/1", method="POST", body=b"x")
        self.assertEqual(answer.status, 504)

    async def test_draining_upstream_gets_no_new_requests(self):
        draining, ready = self.upstreams
        self.register(draining, state="draining")
        await asyncio.sleep(0.1)
        for _ in range(6):
            await self.ask()
        self.assertEqual((len(draining.runs), len(ready.runs)), (0, 6))

    async def test_upstream_that_is_not_known_yet_is_not_suspended(self):
        """The leader knows a new upstream before its followers do.

        Each grant of it that a follower could not use kept it out of use for
        four seconds, as if its address had been given away.
        """
        await self.ask("/order/1", method="POST", body=b"x")
        first, other = sorted(
            self.upstreams, key=lambda u: len(u.runs), reverse=True
        )
        registry = self.host.entry.node.registry
        known = registry._by_id.pop(first.name)
        answer = await self.ask("/order/1", method="POST", body=b"x")
        self.assertEqual((answer.status, len(other.runs)), (200, 1))
        registry._by_id[first.name] = known
        await self.ask("/order/1", method="POST", body=b"x")
        self.assertEqual((len(first.runs), len(other.runs)), (2, 1))

    async def test_body_is_asked_for_after_earlier_answers(self):
        # Guards against an answer in which the bytes that ask for the body of
        # the next request count as its own.
        for upstream in self.upstreams:
            upstream.delay_s = 0.2
        async with Caller(self.host) as caller:
            caller.send("/read/1")
            caller._writer.write(
                b"POST /order/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\n"
                b"Content-Length: 1\r\nExpect: 100-continue\r\n\r\n"
            )
            first = await caller._reader.readuntil(b"\r\n")
            self.assertEqual(first, b"HTTP/1.1 200 OK\r\n")

    async def test_requests_with_one_id_at_a_time_keep_no_slot(self):
        # Guards against a slot that is lost for good since the runs of two
        # requests were taken for one.
        for upstream in self.upstreams:
            upstream.delay_s = 0.2

        async def ask(number):
            extra = [f"X-Affinity-Key: {number}"]
            return await self.ask(request_id="same", extra=extra)

        answers = await asyncio.gather(*map(ask, range(8)))
        self.assertEqual({answer.status for answer in answers}, {200})
        await asyncio.sleep(0.1)
        scheduler = self.host.entry._admission.scheduler
        running = [u.running for u in scheduler._upstreams.values()]
        self.assertEqual(sum(running), 0)

    async def test_evacuated_zone_gets_no_requests_until_it_is_restored(self):
        self.store.put("evacuations", "akl-a", {})
        await asyncio.sleep(0.1)
        self.assertEqual((await self.ask()).status, 503)
        self.store.remove("evacuations", "akl-a")
        await asyncio.sleep(0.1)
        self.assertEqual((await self.ask()).status, 200)

    async def test_malformed_registration_does_not_affect_others(self):
        for spec in (None, "bytes", {"address": 5}):
            self.store.put("servers", "i-odd", spec, {"state": 7})
            await asyncio.sleep(0.05)
            self.assertEqual((await self.ask()).status, 200)

    # One odd entry made hosts stop following the list of upstreams.
    async def test_undecodable_registration_does_not_hide_others(self):
        record = self.store.get_spec("servers", self.upstreams[0].name)
        for number, text in enumerate(
            (
                b"[" * 3000 + b"]" * 3000,
                b'{"a":' * 600 + b"1" + b"}" * 600,
                b'{"slots":1e400}',
                b'{"address":"127.0.0.1:99999"}',
            )
        ):
            with self.subTest(text[:20]):
                self.store.put("servers", "i-odd", orjson.Fragment(text))
                name = f"i-later-{number}"
                status = {"state": "ready", "sequence": 1}
                self.store.put("servers", name, record, status)
                await asyncio.sleep(0.3)
                registry = self.host.entry.node.registry
                self.assertIsNotNone(registry.find_usable(name))
                self.assertIsNone(registry.find_usable("i-odd"))

    async def test_upstream_at_an_endpoint_of_a_host_gets_no_requests(self):
        # Guards against requests that come back to the host that sent them.
        for upstream in self.upstreams:
            self.register(upstream, state="draining")
        record = self.store.get_spec("servers", "i-0")
        own = {**record, "address": str(self.host.file.callers)}
        status = {"state": "ready", "sequence": 1, "warmup_left_s": 0}
        self.store.put("servers", "i-own", own, status)
        await asyncio.sleep(0.2)
        self.assertEqual((await self.ask()).status, 503)
        # The endpoint of a host that registers later.
        registry = self.host.entry.node.registry
        file = self.make_file("front-2", "akl-a")
        own = {**record, "address": file["network"]["listen"]["front"]}
        self.store.put("servers", "i-own", own, status)
        await asyncio.sleep(0.4)
        self.assertIsNotNone(registry.find_usable("i-own"))
        await self.run_host(self.make_host(file))
        await asyncio.sleep(0.4)
        self.assertIsNone(registry.find_usable("i-own"))

    async def test_attempt_that_can_not_begin_ends_no_other_request(self):
        # Guards against an upstream that each connection to fails in a way
        # that nobody foresaw: all requests of the caller's connection ended.
        self.register(self.upstreams[1], state="draining")
        await asyncio.sleep(0.1)
        self.upstreams[0].delay_s = 0.3
        odd = await Upstream("i-odd").start()
        self.addAsyncCleanup(odd.stop)
        async with Caller(self.host) as caller:
            caller.send()
            await asyncio.sleep(0.1)
            self.register(odd)
            await asyncio.sleep(0.1)
            with patch.object(connection_pool, "_open", fail_at_odd):
                caller.send()
                answers = [await caller.receive() for _ in range(2)]
        self.assertEqual([a.status for a in answers], [200, 200])
        self.assertEqual(odd.runs, [])

    async def test_error_before_a_request_ran_ends_no_other_request(self):
        # Guards against a request that takes those of its connection with it.
        for upstream in self.upstreams:
            upstream.delay_s = 0.2
        async with Caller(self.host) as caller:
            caller.send()
            await asyncio.sleep(0.1)
            with patch.object(callers, "decode_caller_request", raise_error):
                caller.send()
                await asyncio.sleep(0)
                answers = [await caller.receive() for _ in range(2)]
        self.assertEqual([a.status for a in answers], [200, 503])
        self.assertIn("retry-after", answers[1].headers)

    async def test_requests_survive_an_unreachable_upstream(self):
        await self.upstreams[0].stop()
        for _ in range(6):
            answer = await self.ask("/order/1", method="POST", body=b"x")
            self.assertEqual(answer.status, 200)

    async def test_request_size_and_read_time_are_limited(self):
        async with Caller(self.host) as caller:
            caller.send("/order/1", method="POST", body=b"x" * 10_001)
            self.assertEqual((await caller.receive()).status, 413)
            self.assertTrue(await caller.is_closed())
        async with Caller(self.host) as caller:
            caller.send(extra=["X-Large: " + "x" * 5000])
            self.assertEqual((await caller.receive()).status, 431)
        async with Caller(self.host) as caller:
            caller.write(b"GET /read/1 HT")
            self.assertEqual((await caller.receive()).status, 408)

    async def test_keys_are_refused_when_the_store_is_down_for_too_long(self):
        self.store.failure_mode = FailureMode.BUSY
        await asyncio.sleep(2.0)
        self.assertEqual((await self.ask()).status, 200)
        await asyncio.sleep(2.6)
        answer = await self.ask()
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.store.failure_mode = FailureMode.NONE
        await asyncio.sleep(1.0)
        self.assertEqual((await self.ask()).status, 200)

    async def test_lists_again_after_the_store_lost_its_history(self):
        upstream = self.upstreams[0]
        self.store.put("servers", "i-9", {"odd": 1})
        self.register(upstream, state="draining")
        self.store.drop_history()
        await asyncio.sleep(0.5)
        registry = self.host.entry.node.registry
        self.assertIsNone(registry.find_usable(upstream.name))

    async def test_stop_completes_requests_in_flight(self):
        for upstream in self.upstreams:
            upstream.delay_s = 0.3
        async with Caller(self.host) as busy, Caller(self.host) as idle:
            busy.send()
            await asyncio.sleep(0.1)
            self.host.stopping.set()
            answer = await busy.receive()
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.headers["connection"], "close")
            idle.send()
            self.assertEqual((await idle.receive()).status, 200)
        spec = self.store.get_spec("entry-hosts", "front-1")
        self.assertTrue(spec["is_stopped"])

    async def test_stopping_host_refuses_late_connections(self):
        """Past half of the grace period, a request might not complete."""
        self.host.entry.node.file.bounds.grace_s = 3.0
        for upstream in self.upstreams:
            upstream.delay_s = 0.6
        async with Caller(self.host) as caller:
            await asyncio.sleep(0.1)
            self.host.stopping.set()
            await asyncio.sleep(1.2)
            caller.send("/order/1", method="POST", body=b"x")
            await asyncio.sleep(0.5)
            with self.assertRaises(OSError):
                async with Caller(self.host):
                    pass
            answer = await caller.receive()
        self.assertEqual(answer.status, 200)

    # A late request on a busy connection was passed on and then cut off.
    async def test_stopping_host_refuses_late_requests_on_busy_connections(
        self,
    ):
        self.host.entry.node.file.bounds.grace_s = 3.0
        for upstream in self.upstreams:
            upstream.delay_s = 1.0
        async with Caller(self.host) as caller:
            await asyncio.sleep(0.1)
            self.host.stopping.set()
            await asyncio.sleep(1.2)
            caller.send("/order/1", method="POST", body=b"x")
            await asyncio.sleep(0.7)
            caller.send("/order/2", method="POST", body=b"x")
            answers = [await caller.receive() for _ in range(2)]
        self.assertEqual([a.status for a in answers], [200, 503])
        self.assertIn("retry-after", answers[1].headers)
        self.assertEqual(len(self.list_runs()), 1)

    async def test_stop_ends_within_its_grace_period_if_the_store_client_hangs(
        self,
    ):
        node = self.host.entry.node
        node.store = HangingStore(node.store)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        await self.host.stop()
        self.assertLess(loop.time() - began_at, 1.0 + 0.4)


class HangingStore:
    """A store client whose `close` never returns."""

    def __init__(self, store):
        self._store = store

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def close(self):
        await self._store.close()
        await asyncio.Event().wait()


class StartTest(PlatformTestCase):
    configuration = None

    async def test_refuses_with_retry_after_without_a_configuration(self):
        answer = await self.ask("/anything/")
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
