"""Detects poison requests, which crash upstreams, across the fleet."""

import asyncio
import itertools
import logging

import aiohttp

from radishstile.daemon.forwarded_request import ForwardedRequest
from radishstile.daemon.node import Node, read_clock
from radishstile.errors import RadishstileError, RefusalError
from radishstile.http.upstream import HEALTH_PATH
from radishstile.outcome import Outcome, Reason
from radishstile.run.poison import (
    CrashReport,
    PoisonDetector,
    PoisonVerdict,
    SuccessReport,
)
from radishstile.upstream.slot import SlotLease
from radishstile.wire.reports import encode_report

_LOG = logging.getLogger("radishstile.poison")
_CRASH_CHECK_DELAY_S = 0.05
_PROBE_TIMEOUT_S = 0.5
# Runs that broke within this time before a crash are reported with it.
_CONCURRENT_WINDOW_S = 1.0


class BrokenRun:
    """A run that ended because the connection to its upstream was lost.

    `at` is loop time.
    """

    __slots__ = ("fingerprint", "upstream", "at")

    def __init__(self, fingerprint: bytes, upstream: str, at: float):
        self.fingerprint = fingerprint
        self.upstream = upstream
        self.at = at


class PoisonMonitor:
    """Tracks running requests, and restricts those suspected of crashes."""

    __slots__ = (
        "_node",
        "_peers",
        "_detector",
        "_running",
        "_broken_runs",
        "_report_numbers",
        "_run_ended",
    )

    def __init__(self, node: Node, peers):
        self._node = node
        self._peers = peers
        self._detector = PoisonDetector(node.settings.runs)
        self._running: dict[str, dict[str, bytes]] = {}
        self._broken_runs: list[BrokenRun] = []
        self._report_numbers = itertools.count(1)
        self._run_ended = asyncio.Event()

    def check(self, request: ForwardedRequest) -> None:
        """Raise `RefusalError` for a request that crashed upstreams before."""
        verdict = self._detector.check(request.fingerprint, read_clock())
        if verdict is PoisonVerdict.REFUSED:
            raise RefusalError(
                Reason.HARMFUL,
                Outcome.NOT_RUN,
                detail="the same request crashed upstreams before",
            )

    def list_excluded(self, request: ForwardedRequest) -> frozenset[str]:
        """Return the upstreams where a suspect must not run now.

        These are the upstreams that run a suspect already.
        """
        if not self._is_suspect(request.fingerprint):
            return frozenset()
        return frozenset(
            upstream
            for upstream, running in self._running.items()
            if any(map(self._is_suspect, running.values()))
        )

    async def wait_turn(self, request: ForwardedRequest) -> None:
        """Wait while the same suspect runs here; raises `RefusalError`.

        A suspect runs once at a time, so that it can crash only one more
        upstream.
        """
        self.check(request)
        while self._is_running(request.fingerprint):
            await self.wait_any_end(request)
        self.check(request)

    async def wait_any_end(self, request: ForwardedRequest) -> None:
        """Wait until any request ends here; raises `RefusalError`."""
        self._run_ended.clear()
        try:
            async with asyncio.timeout_at(request.deadline):
                await self._run_ended.wait()
        except TimeoutError as error:
            raise RefusalError(Reason.DEADLINE) from error

    def may_start(self, request: ForwardedRequest, lease: SlotLease) -> bool:
        """Return whether a request may still run on the slot it waited for."""
        verdict = self._detector.check(request.fingerprint, read_clock())
        if verdict is PoisonVerdict.ALLOWED:
            return True
        if verdict is PoisonVerdict.REFUSED:
            return False
        if self._is_running(request.fingerprint):
            return False
        return lease.upstream not in self.list_excluded(request)

    def _is_running(self, fingerprint: bytes) -> bool:
        """Return whether this is a suspect that runs on an upstream here."""
        return self._is_suspect(fingerprint) and any(
            fingerprint in running.values()
            for running in self._running.values()
        )

    def record_started(
        self, request: ForwardedRequest, lease: SlotLease
    ) -> None:
        """Record that a request runs on an upstream."""
        running = self._running.setdefault(lease.upstream, {})
        running[request.request_id] = request.fingerprint

    def record_ended(
        self, request: ForwardedRequest, lease: SlotLease
    ) -> None:
        """Record that a request no longer runs."""
        running = self._running.get(lease.upstream, {})
        running.pop(request.request_id, None)
        if not running:
            self._running.pop(lease.upstream, None)
        self._run_ended.set()

    async def record_completed(self, request: ForwardedRequest) -> None:
        """Report a suspect that ran to its end, which clears it."""
        if self._is_suspect(request.fingerprint):
            report = SuccessReport(self._make_report_id(), request.fingerprint)
            await self.apply_report(report)

    async def record_broken(
        self, request: ForwardedRequest, lease: SlotLease
    ) -> CrashReport | None:
        """Probe the upstream of a broken run, and report it if it is down."""
        now = read_clock()
        broken = BrokenRun(request.fingerprint, lease.upstream, now)
        self._broken_runs.append(broken)
        await asyncio.sleep(_CRASH_CHECK_DELAY_S)
        if not await self._is_down(lease):
            self._broken_runs.remove(broken)
            return None
        report = self._make_crash_report(lease.upstream)
        await self.apply_report(report)
        return report

    async def apply_report(self, report: CrashReport | SuccessReport) -> None:
        """Apply a report, and forward it to the peers if it is new."""
        if not self._detector.apply(report, read_clock()):
            return
        message = encode_report(report)
        for peer in self._peers.list_connected():
            await self._peers.notify(peer.member, message)

    def _is_suspect(self, fingerprint: bytes) -> bool:
        verdict = self._detector.check(fingerprint, read_clock())
        return verdict is not PoisonVerdict.ALLOWED

    def _make_crash_report(self, upstream: str) -> CrashReport:
        oldest = read_clock() - _CONCURRENT_WINDOW_S
        self._broken_runs = [b for b in self._broken_runs if b.at > oldest]
        concurrent = {
            b.fingerprint for b in self._broken_runs if b.upstream == upstream
        }
        concurrent |= set(self._running.get(upstream, {}).values())
        _LOG.warning(
            "poison: %s went down while it ran %d requests.",
            upstream,
            len(concurrent),
        )
        return CrashReport(
            self._make_report_id(), upstream, frozenset(concurrent)
        )

    def _make_report_id(self) -> str:
        host, incarnation = self._node.local_member.identity
        return f"{host}#{incarnation}#{next(self._report_numbers)}"

    async def _is_down(self, lease: SlotLease) -> bool:
        try:
            await self._node.upstream_client.fetch_report(
                lease.address, lease.port, HEALTH_PATH, _PROBE_TIMEOUT_S
            )
        except (aiohttp.ClientConnectorError, aiohttp.ClientOSError):
            return True
        except (
            aiohttp.ClientError,
            RadishstileError,
            TimeoutError,
            ValueError,
        ):
            return False
        return False
