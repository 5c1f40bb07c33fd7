"""Client of the versioned store: retries calls and rejects stale reads."""

import asyncio
import random
import uuid
from collections.abc import Awaitable, Callable, Iterator
from functools import singledispatch
from typing import Any

from radishstile.errors import StoreUnavailableError, VersionConflictError
from radishstile.platform.answer import (
    Absent,
    AnswerLost,
    MachineState,
    Rejected,
    StoredObject,
)
from radishstile.platform.calls import StoreCallCounters
from radishstile.platform.settings import PlatformSettings
from radishstile.platform.transport import StoreTransport
from radishstile.platform.write import PendingWrite, resolve_write


class StoreClient:
    """Reads, writes and watches named objects in the platform's store."""

    __slots__ = ("_settings", "_random", "_transport", "_latest_versions")

    def __init__(
        self,
        settings: PlatformSettings,
        random_source: random.Random | None = None,
    ):
        self._settings = settings
        self._random = random_source or random.Random()
        self._transport = StoreTransport(settings)
        # Highest version of each name that this client has read or written.
        self._latest_versions: dict[str, int] = {}

    @property
    def calls(self) -> StoreCallCounters:
        """Return the counts of calls."""
        return self._transport.calls

    @property
    def last_reached_at(self) -> float:
        """Return the loop time at which the last answered call was sent."""
        return self.calls.last_reached_at

    async def open(self) -> None:
        """Open the connections; must be awaited before other calls."""
        await self._transport.open()

    async def close(self) -> None:
        """Close the connections."""
        await self._transport.close()

    async def read(self, name: str) -> StoredObject | None:
        """Return the object, or None if there is none.

        Raises `StoreUnavailableError` if no attempt returned a version at
        least as new as the newest that this client has seen.
        """
        for delay_s in self._iterate_delays():
            await asyncio.sleep(delay_s)
            answer = await self._transport.read(name)
            if _is_current(answer, self._latest_versions.get(name, 0)):
                self._record_version(name, answer.version)
                return answer.found
        raise StoreUnavailableError(f"{name}: no current answer")

    async def update(
        self,
        name: str,
        value: Any,
        expected_version: int,
        contains: Callable[[Any], bool] | None = None,
    ) -> int:
        """Write `value` over `expected_version` and return the new version.

        An expected version of 0 creates the object. `contains` returns
        whether a later value includes this write. Raises
        `VersionConflictError` or `StoreUnavailableError` if the write had no
        effect, and `WriteDoubtError` if it may have taken effect.
        """
        write_id = uuid.uuid4().hex
        write = PendingWrite(
            name, value, expected_version, write_id, contains=contains
        )
        return await self._run_write(write)

    async def delete(self, name: str, expected_version: int) -> None:
        """Delete the object at `expected_version`; raises as `update` does."""
        write_id = uuid.uuid4().hex
        await self._run_write(
            PendingWrite(
                name, None, expected_version, write_id, is_deletion=True
            )
        )

    async def watch(
        self, name: str, after: int, wait_s: float | None = None
    ) -> StoredObject | None:
        """Return the object once its version is above `after`.

        Returns None after one long poll of `wait_s` seconds, by default
        `watch_wait_s` of the settings. Raises `StoreUnavailableError` without
        a retry if the store does not answer.
        """
        if wait_s is None:
            wait_s = self._settings.watch_wait_s
        answer = await self._transport.watch(name, after, wait_s)
        _check_answered(answer)
        found = answer.found
        if found is None:
            return None
        if found.version < self._latest_versions.get(name, 0):
            return await self.read(name)
        self._record_version(name, found.version)
        return found

    async def list_objects(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose names begin with `prefix`.

        The platform's list lags, so a new object may be missing. An object
        that is older than the version known to this client is read again.
        """
        listed = await self._retry(
            lambda: self._transport.list_objects(prefix)
        )
        objects = []
        for item in listed:
            if item.version < self._latest_versions.get(item.name, 0):
                item = await self.read(item.name)
            if item is not None:
                self._record_version(item.name, item.version)
                objects.append(item)
        return objects

    async def list_machines(self) -> dict[str, MachineState]:
        """Return the platform's lagging list of machines."""
        return await self._retry(self._transport.list_machines)

    async def _run_write(self, write: PendingWrite) -> int:
        for delay_s in self._iterate_delays():
            await asyncio.sleep(delay_s)
            version = await self._attempt_write(write)
            if version is not None:
                self._record_version(write.name, version)
                return version
        raise write.make_error()

    async def _attempt_write(self, write: PendingWrite) -> int | None:
        try:
            if write.is_in_doubt:
                answer = await self._transport.read(write.name)
                version = resolve_write(answer, write)
                if version is not None:
                    return version
            return resolve_write(await self._transport.write(write), write)
        except VersionConflictError as error:
            self._record_version(error.name, error.current)
            raise

    async def _retry(self, call: Callable[[], Awaitable[Any]]) -> Any:
        for delay_s in self._iterate_delays():
            await asyncio.sleep(delay_s)
            answer = await call()
            if _is_answered(answer):
                return answer
        _check_answered(answer)
        return answer

    def _iterate_delays(self) -> Iterator[float]:
        yield 0.0
        limit_s = self._settings.retry_min_s
        for _ in range(self._settings.attempts - 1):
            yield self._random.uniform(limit_s / 2, limit_s)
            limit_s = min(2 * limit_s, self._settings.retry_max_s)

    def _record_version(self, name: str, version: int) -> None:
        self._latest_versions[name] = max(
            version, self._latest_versions.get(name, 0)
        )


@singledispatch
def _is_current(answer: Rejected | AnswerLost, known_version: int) -> bool:
    return False


@_is_current.register
def _is_object_current(answer: StoredObject, known_version: int) -> bool:
    return answer.version >= known_version


@_is_current.register
def _is_absence_current(answer: Absent, known_version: int) -> bool:
    return answer.version >= known_version


@singledispatch
def _is_answered(answer: Any) -> bool:
    return True


@_is_answered.register
def _is_rejection_answered(answer: Rejected) -> bool:
    return False


@_is_answered.register
def _is_loss_answered(answer: AnswerLost) -> bool:
    return False


def _check_answered(answer: Any) -> None:
    if not _is_answered(answer):
        raise StoreUnavailableError(answer.detail)
