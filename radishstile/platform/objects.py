"""Client of the platform's object store; sends each call once."""

import asyncio
from collections.abc import Callable
from typing import Any
from urllib.parse import quote, urlencode

import orjson

from radishstile.errors import (
    HistoryLostError,
    HttpError,
    NotConnectedError,
    ObjectConflictError,
    ObjectMissingError,
    StoreUnavailableError,
    WriteDoubtError,
)
from radishstile.http.client import ClientLimits, ClientRequest, HttpClient
from radishstile.platform.calls import CallKind, StoreCallCounters
from radishstile.platform.host_file import Endpoint
from radishstile.platform.json_codec import decode_json, is_too_deep
from radishstile.platform.revision import EraClock, Revision, read_era
from radishstile.platform.stored_objects import (
    Change,
    Changes,
    Listing,
    PlatformObject,
)

# For calls other than watches; the store answers in milliseconds, and in a
# quarter of a second while it is slow.
CALL_TIMEOUT_S = 1.5
# Time for the answer of a watch after its wait.
WATCH_GRACE_S = 0.6
# Largest answer in bytes: some changes of the largest objects, 1 MiB each. A
# body without end is read no further.
ANSWER_LIMIT_BYTES = 16_777_216
_MS_PER_S = 1000
_OBJECTS_PATH = "/v1/objects"
_JSON_HEADERS = [(b"Content-Type", b"application/json")]

_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_GONE = 410
_CONFLICT = 409
_NOT_FOUND = 404


class StoreAnswer:
    """The decoded body of an answer and the era that it names."""

    __slots__ = ("record", "era")

    def __init__(self, record: Any, era: int):
        self.record = record
        self.era = era


class ObjectClient:
    """Lists, watches and writes objects of one store.

    Calls raise `StoreUnavailableError` if the call had no effect, and
    `WriteDoubtError` if a write may have taken effect or still may. An answer
    of an era before the highest one known is not used.
    """

    __slots__ = ("calls", "_clock", "_store", "_client")

    def __init__(self, store: Endpoint):
        self.calls = StoreCallCounters()
        self._clock = EraClock()
        self._store = store
        self._client: HttpClient | None = None

    async def open(self) -> None:
        """Open the connection pool; must be awaited before other calls."""
        limits = ClientLimits(ANSWER_LIMIT_BYTES)
        self._client = HttpClient(
            self._store.address, self._store.port, limits
        )

    async def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def list_kind(self, kind: str) -> Listing:
        """Return all objects of a kind.

        The revision is that of the first page, so that a watch from there
        misses no change that was made while later pages were read.
        """
        objects: list[PlatformObject] = []
        revision = None
        query: dict[str, str] = {}
        while True:
            answer = await self._read(CallKind.LIST, kind, query)
            page = _decode(_decode_page, answer, kind)
            objects += page.objects
            if revision is None:
                revision = page.revision
            if page.revision.era != revision.era:
                raise StoreUnavailableError(f"{kind}: the store was restored")
            if not answer.record.get("more") or not page.objects:
                return Listing(objects, revision)
            query = {"after": objects[-1].name}

    async def watch(
        self, kind: str, revision: Revision, wait_s: float
    ) -> Changes:
        """Return the changes after `revision`, waiting up to `wait_s` seconds.

        Raises `HistoryLostError` if the store no longer has the changes, or
        was restored since.
        """
        if not self._clock.observe(revision.era):
            raise HistoryLostError(f"{kind}: the store was restored")
        query = {
            "watch": str(revision.number),
            "wait_ms": str(int(wait_s * _MS_PER_S)),
        }
        timeout_s = wait_s + WATCH_GRACE_S
        answer = await self._read(CallKind.WATCH, kind, query, timeout_s)
        if answer.era != revision.era:
            raise HistoryLostError(f"{kind}: the store was restored")
        return _decode(_decode_changes, answer, kind)

    async def read(self, kind: str, name: str) -> PlatformObject | None:
        """Return one object, or None if there is none."""
        path = f"{kind}/{quote(name)}"
        try:
            answer = await self._read(CallKind.READ, path, {})
        except ObjectMissingError:
            return None
        return _decode(_decode_object, answer, path)

    async def create(self, kind: str, name: str, spec: Any) -> None:
        """Create an object; raises `ObjectConflictError` if it exists."""
        body = {"metadata": {"name": name}, "spec": spec}
        await self._write("POST", kind, body)

    async def replace(
        self,
        kind: str,
        name: str,
        spec: Any,
        revision: Revision | None = None,
    ) -> None:
        """Replace the spec of an object, if it is still at `revision`.

        Raises `ObjectMissingError` and `ObjectConflictError`.
        """
        metadata: dict[str, Any] = {"name": name}
        if revision is not None:
            metadata["revision"] = self._find_number(name, revision)
        body = {"metadata": metadata, "spec": spec}
        await self._write("PUT", f"{kind}/{quote(name)}", body)

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Replace the spec of an object, or create it if there is none."""
        try:
            await self.replace(kind, name, spec)
        except ObjectMissingError:
            await self.create(kind, name, spec)

    async def delete(self, kind: str, name: str, revision: Revision) -> None:
        """Delete an object that is still at `revision`."""
        number = self._find_number(name, revision)
        path = f"{kind}/{quote(name)}?revision={number}"
        await self._write("DELETE", path, None)

    def _find_number(self, name: str, revision: Revision) -> int:
        """Return the store's number of a revision to write on condition of.

        Raises `ObjectConflictError` for one of another era, whose number may
        have been given out again.
        """
        if revision.era != self._clock.era:
            raise ObjectConflictError(f"{name}: the store was restored")
        return revision.number

    async def _read(
        self,
        kind: CallKind,
        path: str,
        query: dict[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> StoreAnswer:
        try:
            return await self._call(kind, "GET", path, query, None, timeout_s)
        except WriteDoubtError as error:
            raise StoreUnavailableError(str(error)) from error

    async def _write(self, method: str, path: str, body: Any) -> None:
        await self._call(
            CallKind.WRITE, method, path, {}, body, CALL_TIMEOUT_S
        )

    async def _call(
        self,
        kind: CallKind,
        method: str,
        path: str,
        query: dict[str, str],
        body: Any,
        timeout_s: float,
    ) -> StoreAnswer:
        self.calls.record_call(kind)
        began_at = asyncio.get_running_loop().time()
        request = _make_request(method, path, query, body)
        try:
            answer = await self._client.send(request, timeout_s)
            era = read_era(answer.head)
            if not self._clock.observe(era):
                raise WriteDoubtError(f"{path}: an answer of era {era}")
            _check_status(answer.status, path)
            record = decode_json(answer.body)
        except NotConnectedError as error:
            self.calls.record_failure()
            raise StoreUnavailableError(f"{path}: can't connect") from error
        except (
            ConnectionError,
            HttpError,
            TimeoutError,
            ValueError,
        ) as error:
            self.calls.record_failure()
            name = type(error).__name__
            raise WriteDoubtError(f"{path}: no answer ({name})") from error
        except (StoreUnavailableError, WriteDoubtError):
            self.calls.record_failure()
            raise
        self.calls.record_answer(began_at)
        return StoreAnswer(record, era)


def _make_request(
    method: str, path: str, query: dict[str, str], body: Any
) -> ClientRequest:
    target = f"{_OBJECTS_PATH}/{path}"
    if query:
        target += f"?{urlencode(query)}"
    if body is None:
        return ClientRequest(method, target)
    return ClientRequest(method, target, _JSON_HEADERS, orjson.dumps(body))


def _check_status(status: int, path: str) -> None:
    if status < 300:
        return
    if status == _GONE:
        raise HistoryLostError(f"{path}: the store dropped these changes")
    if status == _CONFLICT:
        raise ObjectConflictError(f"{path}: the object has changed")
    if status == _NOT_FOUND:
        raise ObjectMissingError(f"{path}: no such object")
    if status in (_TOO_MANY_REQUESTS, _UNAVAILABLE):
        raise StoreUnavailableError(f"{path}: the store answered {status}")
    raise WriteDoubtError(f"{path}: the store answered {status}")


def _decode(
    decode: Callable[[Any, int], Any], answer: StoreAnswer, path: str
) -> Any:
    """Decode an answer; raises `StoreUnavailableError` if it is another."""
    try:
        return decode(answer.record, answer.era)
    except (
        AttributeError,
        KeyError,
        OverflowError,
        TypeError,
        ValueError,
    ) as error:
        raise StoreUnavailableError(
            f"{path}: unexpected answer ({type(error).__name__}: {error})"
        ) from error


def _decode_page(record: dict, era: int) -> Listing:
    objects = [_decode_object(item, era) for item in record["items"]]
    return Listing(objects, Revision.make(era, int(record["store_revision"])))


def _decode_changes(record: dict, era: int) -> Changes:
    changes = [
        Change(_decode_object(event["object"], era), bool(event["removed"]))
        for event in record["events"]
    ]
    return Changes(changes, Revision.make(era, int(record["store_revision"])))


def _decode_object(record: dict, era: int) -> PlatformObject:
    metadata = record["metadata"]
    return PlatformObject(
        metadata["name"],
        Revision.make(era, metadata["revision"]),
        bool(metadata.get("deleting")),
        _drop_deep(record.get("spec")),
        _drop_deep(record.get("status")),
    )


def _drop_deep(value: Any) -> Any:
    """Return the value, or None if it is nested too deeply to be used."""
    return None if is_too_deep(value) else value
