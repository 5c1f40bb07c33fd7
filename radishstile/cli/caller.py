"""An HTTP client that sends callers' requests, to test a fleet."""

import asyncio

import aiohttp

from radishstile.cli.client import describe_error
from radishstile.errors import OperatorError
from radishstile.http import headers as names

_TIMEOUT_S = 60


class CallerClient:
    """Looks up entry hosts and sends single requests."""

    __slots__ = ("_url",)

    def __init__(self, url: str):
        self._url = url.rstrip("/")

    async def look_up(self, route: str, client: str) -> dict:
        """Return the answer to a look-up."""
        query = {"route": route}
        if client:
            query["client"] = client
        async with self._open() as session:
            return await self._fetch(session, query)

    async def send(
        self, method: str, path: str, key: str, body: str, idempotency: str
    ) -> dict:
        """Send one request and return status, headers, body and time."""
        headers = {}
        if key:
            headers[names.AUTHORIZATION] = names.BEARER_PREFIX + key
        if idempotency:
            headers[names.IDEMPOTENCY_KEY] = idempotency
        clock = asyncio.get_running_loop()
        started_at = clock.time()
        try:
            async with (
                self._open() as session,
                session.request(
                    method, self._url + path, data=body, headers=headers
                ) as response,
            ):
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise OperatorError(
                f"{self._url}: {describe_error(error)}"
            ) from error
        return {
            "status": response.status,
            "outcome": response.headers.get(names.OUTCOME),
            "reason": response.headers.get(names.REASON),
            "trace": response.headers.get(names.TRACE_ID),
            "elapsed_ms": round((clock.time() - started_at) * 1000, 1),
            "body": text,
        }

    async def _fetch(
        self, session: aiohttp.ClientSession, query: dict[str, str]
    ) -> dict:
        url = f"{self._url}/lookup"
        try:
            async with session.get(url, params=query) as response:
                result = await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise OperatorError(
                f"{self._url}: {describe_error(error)}"
            ) from error
        if response.status != 200:
            raise OperatorError(result.get("detail", str(response.status)))
        return result

    def _open(self) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        return aiohttp.ClientSession(timeout=timeout)
