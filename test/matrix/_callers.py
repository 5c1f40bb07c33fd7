"""Callers of the matrix: what they sent and what they got."""

import asyncio
import itertools

import aiohttp

from test.daemon._fleet import Fleet

TRY_HEADER = "X-Try"
SIZE = 200_000
TRIES = 12
RETRY_S = 3.0
_numbers = itertools.count(1)


class Attempt:
    """One sending: its name, and the end that the caller saw."""

    __slots__ = ("name", "status", "outcome", "reason", "is_whole")

    def __init__(self, name: str):
        self.name = name
        self.status = 0
        self.outcome = ""
        self.reason = ""
        self.is_whole = False


class Request:
    """A caller's request; `attempts` are all the times it was sent."""

    __slots__ = ("path", "workspace", "is_purchase", "key", "attempts")

    def __init__(self, path: str, workspace: str, is_purchase: bool, key: str):
        self.path = path
        self.workspace = workspace
        self.is_purchase = is_purchase
        self.key = key
        self.attempts: list[Attempt] = []

    @property
    def is_over(self) -> bool:
        """Return whether sending it again tells nothing more."""
        last = self.attempts[-1]
        if self.is_purchase and last.outcome in ("ran", "unknown"):
            return True
        return last.is_whole

    async def send(self, fleet: Fleet, host: str) -> Attempt:
        """Send the request once and keep what came back."""
        attempt = Attempt(f"{self.path}#{next(_numbers)}")
        self.attempts.append(attempt)
        query = "?work_s=1" if self.is_purchase else f"?work_s=2&size={SIZE}"
        try:
            sent = await fleet.send(
                "POST" if self.is_purchase else "GET",
                self.path + query,
                host=host,
                key=self.key,
                order=self.path if self.is_purchase else "",
                headers={TRY_HEADER: attempt.name},
                timeout=aiohttp.ClientTimeout(total=40),
            )
        except (aiohttp.ClientError, OSError, TimeoutError):
            return attempt
        attempt.status = sent.status
        attempt.outcome = sent.outcome or ""
        attempt.reason = sent.reason or ""
        attempt.is_whole = self._is_whole(sent.body)
        return attempt

    async def send_again(self, fleet: Fleet) -> None:
        """Send from host to host until the end is known."""
        for number in range(TRIES):
            if self.attempts and self.is_over:
                return
            hosts = sorted(fleet.daemons)
            await self.send(fleet, hosts[number % len(hosts)])
            await asyncio.sleep(RETRY_S)

    def _is_whole(self, body: bytes) -> bool:
        if self.is_purchase:
            return self.path.encode() in body and body.endswith(b"}")
        return len(body) == SIZE
