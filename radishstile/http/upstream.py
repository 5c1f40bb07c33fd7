"""HTTP client for upstreams; streams the body of each answer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from radishstile.call import Answer
from radishstile.http import headers as names
from radishstile.http.resending import forbid_retry

HEALTH_PATH = "/health"
_READ_BYTES = 65_536


class UpstreamRequest:
    """A request to an upstream; `deadline_s` is the remaining time."""

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "workspace",
        "deadline_s",
        "traceparent",
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        workspace: str,
        deadline_s: float,
        traceparent: str,
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.workspace = workspace
        self.deadline_s = deadline_s
        self.traceparent = traceparent


class UpstreamClient:
    """Sends requests to upstreams, each at most once."""

    __slots__ = ("_session",)

    def __init__(self):
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the connection pool."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            middlewares=(forbid_retry,),
        )

    async def close(self) -> None:
        """Close the connection pool."""
        if self._session is not None:
            await self._session.close()

    @asynccontextmanager
    async def send(
        self, address: str, port: int, request: UpstreamRequest
    ) -> AsyncIterator[Answer]:
        """Send a request and yield its answer.

        An answer that is not fully read is cancelled on exit. Raises
        `aiohttp.ClientConnectorError` if nothing was sent, and
        `ConnectionLostError`, `aiohttp.ClientError` or `TimeoutError` if the
        request may have run.
        """
        url = URL(f"http://{address}:{port}{request.target}", encoded=True)
        async with (
            asyncio.timeout(request.deadline_s),
            self._session.request(
                request.method,
                url,
                data=request.body or None,
                headers=_make_headers(request),
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=None),
            ) as response,
        ):
            raw = [
                (name.decode(), value.decode("latin-1"))
                for name, value in response.raw_headers
            ]
            parts = response.content.iter_chunked(_READ_BYTES)
            yield Answer(
                response.status, names.select_answer_headers(raw), parts
            )

    async def fetch_report(
        self, address: str, port: int, path: str, timeout_s: float
    ) -> dict:
        """Return the JSON object that a health or load endpoint answers."""
        url = URL(f"http://{address}:{port}{path}", encoded=True)
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        async with self._session.get(url, timeout=timeout) as response:
            response.raise_for_status()
            return await response.json()


def _make_headers(request: UpstreamRequest) -> CIMultiDict[str]:
    headers = CIMultiDict(request.headers)
    headers[names.DEADLINE] = str(max(1, int(request.deadline_s * 1000)))
    headers[names.TRACEPARENT] = request.traceparent
    if request.workspace:
        headers[names.WORKSPACE] = request.workspace
    return headers
