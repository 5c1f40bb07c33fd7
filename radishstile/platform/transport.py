"""Sends calls to the store over HTTP and JSON, without retries."""

import asyncio
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import aiohttp

from radishstile.errors import PlatformError, StoreUnavailableError
from radishstile.http.resending import (
    ConnectionLostError,
    forbid_retry,
)
from radishstile.platform.answer import (
    Absent,
    AnswerLost,
    Conflict,
    MachineState,
    Rejected,
    StoredObject,
    Written,
)
from radishstile.platform.calls import CallKind, StoreCallCounters
from radishstile.platform.settings import PlatformSettings
from radishstile.platform.write import PendingWrite

_ANSWER_STATUSES = (200, 204, 404, 409)
_NO_EFFECT_STATUSES = (429, 503)
_SERVER_ERROR = 500


class _HttpAnswer:
    """Status and decoded body of one HTTP answer."""

    __slots__ = ("status", "record")

    def __init__(self, status: int, record: Any):
        self.status = status
        self.record = record


class StoreTransport:
    """Sends each call once and returns the decoded answer."""

    __slots__ = ("calls", "_settings", "_session")

    def __init__(self, settings: PlatformSettings):
        self.calls = StoreCallCounters()
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the connection pool."""
        self._session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(),
            middlewares=(forbid_retry,),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def read(
        self, name: str
    ) -> StoredObject | Absent | Rejected | AnswerLost:
        """Read one object."""
        return await self._call(
            _decode_read, CallKind.READ, "GET", f"objects/{quote(name)}"
        )

    async def write(
        self, write: PendingWrite
    ) -> Written | Conflict | Rejected | AnswerLost:
        """Send one attempt of a write or deletion."""
        path = f"objects/{quote(write.name)}"
        condition = {
            "expected_version": write.expected_version,
            "write_id": write.write_id,
        }
        if write.is_deletion:
            return await self._call(
                _decode_write,
                CallKind.WRITE,
                "DELETE",
                path,
                params=condition,
            )
        return await self._call(
            _decode_write,
            CallKind.WRITE,
            "PUT",
            path,
            json={"value": write.value, **condition},
        )

    async def watch(
        self, name: str, after: int, wait_s: float
    ) -> StoredObject | Absent | Rejected | AnswerLost:
        """Wait for a version above `after` with one long poll."""
        return await self._call(
            _decode_read,
            CallKind.WATCH,
            "GET",
            f"watch/{quote(name)}",
            timeout_s=wait_s + self._settings.timeout_s,
            params={"after": after, "wait_s": wait_s},
        )

    async def list_objects(
        self, prefix: str
    ) -> list[StoredObject] | Rejected | AnswerLost:
        """List the objects below a prefix."""
        return await self._call(
            _decode_list, CallKind.LIST, "GET", f"list/{quote(prefix)}"
        )

    async def list_machines(
        self,
    ) -> dict[str, MachineState] | Rejected | AnswerLost:
        """List the platform's machines."""
        return await self._call(
            _decode_machines, CallKind.LIST, "GET", "machines"
        )

    async def _call(
        self,
        decode: Callable[[_HttpAnswer], Any],
        kind: CallKind,
        method: str,
        path: str,
        timeout_s: float | None = None,
        **arguments,
    ) -> Any:
        began_at = asyncio.get_running_loop().time()
        self.calls.record_call(kind)
        try:
            reply = await self._send(
                method, path, timeout_s or self._settings.timeout_s, arguments
            )
            answer = decode(reply)
        except StoreUnavailableError as error:
            self.calls.record_failure()
            return Rejected(str(error))
        except (ConnectionLostError, KeyError, TypeError, ValueError) as error:
            self.calls.record_failure()
            return AnswerLost(f"lost answer: {error}")
        self.calls.record_answer(began_at)
        return answer

    async def _send(
        self, method: str, path: str, timeout_s: float, arguments: dict
    ) -> _HttpAnswer:
        url = f"{self._settings.url}/v1/{path}"
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.request(
                method, url, timeout=timeout, **arguments
            ) as response:
                _check_status(response.status)
                if response.status == 204:
                    return _HttpAnswer(204, None)
                return _HttpAnswer(response.status, await response.json())
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError(
                "can't connect to the store"
            ) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise ConnectionLostError(type(error).__name__) from error


def _check_status(status: int) -> None:
    if status in _ANSWER_STATUSES:
        return
    if status in _NO_EFFECT_STATUSES:
        raise StoreUnavailableError(f"store answered {status}")
    if status >= _SERVER_ERROR:
        raise ConnectionLostError(f"store answered {status}")
    raise PlatformError(f"store answered {status}")


def _decode_read(reply: _HttpAnswer) -> StoredObject | Absent:
    if reply.status == 204:
        return Absent("", 0, "")
    if reply.status == 404:
        return Absent(
            reply.record.get("name", ""),
            reply.record.get("version", 0),
            reply.record.get("write_id", ""),
        )
    return _decode_object(reply.record)


def _decode_write(reply: _HttpAnswer) -> Written | Conflict:
    if reply.status == 409:
        return Conflict(
            reply.record["version"],
            reply.record["write_id"],
            reply.record.get("deleted", False),
        )
    return Written(reply.record["version"])


def _decode_list(reply: _HttpAnswer) -> list[StoredObject]:
    return [_decode_object(record) for record in reply.record]


def _decode_machines(reply: _HttpAnswer) -> dict[str, MachineState]:
    return {name: MachineState(state) for name, state in reply.record.items()}


def _decode_object(record: dict) -> StoredObject:
    return StoredObject(
        record["name"],
        record["version"],
        record["value"],
        record.get("write_id", ""),
    )
