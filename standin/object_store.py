"""A stand-in for the platform's object store that speaks its protocol.

It keeps objects in memory and simulates the failures of the real store:
overload, throttling, unresponsiveness, connection resets, lost answers,
delayed writes and loss of the change history.
"""

import asyncio
from collections import Counter
from enum import Enum

import orjson
from aiohttp import web

PAGE_SIZE = 500
_MS_PER_S = 1000


class FailureMode(Enum):
    """How the store fails calls."""

    NONE = "none"
    BUSY = "busy"
    THROTTLED = "throttled"
    SILENT = "silent"
    RESET = "reset"
    # Writes take effect, but their answers are lost.
    ANSWERS_LOST = "answers-lost"
    # Writes take effect after `LATE_WRITE_DELAY_S`; their answers are lost.
    WRITES_LATE = "writes-late"
    # Reads are answered with JSON of another shape.
    UNEXPECTED = "unexpected"
    # Reads are answered with a body without end.
    ENDLESS = "endless"


LATE_WRITE_DELAY_S = 1.0
ENDLESS_PART_BYTES = 65_536


class _StoredObject:
    """A stored object, as its JSON record."""

    __slots__ = ("record",)

    def __init__(self, record: dict):
        self.record = record

    @property
    def revision(self) -> int:
        return self.record["metadata"]["revision"]


class _ChangeEvent:
    """A change of an object, with the revision of the store."""

    __slots__ = ("kind", "revision", "record", "is_removal")

    def __init__(
        self, kind: str, revision: int, record: dict, is_removal: bool
    ):
        self.kind = kind
        self.revision = revision
        self.record = record
        self.is_removal = is_removal


class StoreBackup:
    """All that a store held at one moment."""

    __slots__ = ("revision", "kinds", "events")

    def __init__(self, revision: int, kinds: dict, events: list):
        self.revision = revision
        self.kinds = kinds
        self.events = events


class ObjectStore:
    """Serves `/v1/objects`; `calls` counts requests by method.

    `reads_by_s` and `writes_by_s` count them by second of the loop's clock.
    `endless_bytes` is what was written of the last answer without end. `era`
    rises each time the store is restored; answers name it once it has.
    """

    __slots__ = (
        "failure_mode",
        "calls",
        "reads_by_s",
        "writes_by_s",
        "endless_bytes",
        "revision",
        "era",
        "_kinds",
        "_events",
        "_dropped_revision",
        "_event_added",
        "_runner",
        "_site",
        "_tasks",
    )

    def __init__(self):
        self.failure_mode = FailureMode.NONE
        self.calls: dict[str, int] = {}
        self.reads_by_s: Counter[int] = Counter()
        self.writes_by_s: Counter[int] = Counter()
        self.endless_bytes = 0
        self.revision = 1
        self.era = 0
        self._kinds: dict[str, dict[str, _StoredObject]] = {}
        self._events: list[_ChangeEvent] = []
        # The change history starts after this revision.
        self._dropped_revision = 0
        self._event_added = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def port(self) -> int:
        """Return the port that the store listens on."""
        return self._runner.addresses[0][1]

    async def start(self, address: str = "127.0.0.1", port: int = 0) -> None:
        """Listen for requests."""
        app = web.Application()
        app.router.add_route("*", "/v1/objects/{kind}", self._serve)
        app.router.add_route("*", "/v1/objects/{kind}/{name}", self._serve)
        app.router.add_route(
            "*", "/v1/objects/{kind}/{name}/status", self._serve
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner, address, port, shutdown_timeout=0.1
        )
        await self._site.start()

    async def stop(self) -> None:
        """Close the socket and all connections."""
        for task in self._tasks:
            task.cancel()
        await self._runner.cleanup()

    # Direct access for tests, without a request

    def put(self, kind: str, name: str, spec, status=None) -> int:
        """Write an object and return the new revision."""
        current = self._find(kind, name)
        if current is not None:
            record = current.record
            if (record["spec"], record["status"]) == (spec, status):
                return self.revision
        self.revision += 1
        metadata = current.record["metadata"] if current else {}
        record = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created_rev": metadata.get("created_rev", self.revision),
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self._kinds.setdefault(kind, {})[name] = _StoredObject(record)
        self._add_event(_ChangeEvent(kind, self.revision, record, False))
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        removed = self._kinds[kind].pop(name)
        self.revision += 1
        self._add_event(
            _ChangeEvent(kind, self.revision, removed.record, True)
        )

    def drop_history(self) -> None:
        """Drop the change history, as the real store may at any time."""
        self._events.clear()
        self._dropped_revision = self.revision
        self._event_added.set()

    def back_up(self) -> StoreBackup:
        """Return a copy of all objects and changes."""
        kinds = {kind: dict(held) for kind, held in self._kinds.items()}
        return StoreBackup(self.revision, kinds, list(self._events))

    def restore(self, backup: StoreBackup) -> None:
        """Go back to a backup; later revisions are given out again."""
        self.revision = backup.revision
        self._kinds = {k: dict(held) for k, held in backup.kinds.items()}
        self._events = list(backup.events)
        self._dropped_revision = min(self._dropped_revision, self.revision)
        self.era += 1
        self._event_added.set()

    def get_spec(self, kind: str, name: str):
        """Return the spec of an object, or None."""
        found = self._find(kind, name)
        return found.record["spec"] if found else None

    # Requests

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        answer = await self._answer(request)
        if self.era and not answer.prepared:
            answer.headers["Store-Era"] = str(self.era)
        return answer

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        method = request.method
        self.calls[method] = self.calls.get(method, 0) + 1
        counter = self.reads_by_s if method == "GET" else self.writes_by_s
        counter[int(asyncio.get_running_loop().time())] += 1
        if self.failure_mode in (FailureMode.SILENT, FailureMode.RESET):
            return await self._withhold_answer(request)
        if self.failure_mode is FailureMode.BUSY:
            return web.Response(status=503)
        if self.failure_mode is FailureMode.THROTTLED:
            return web.Response(status=429)
        if method == "GET" and self.failure_mode is FailureMode.UNEXPECTED:
            return _make_response(200, {"items": [{"name": "a"}]})
        if method == "GET" and self.failure_mode is FailureMode.ENDLESS:
            return await self._answer_without_end(request)
        if method == "GET":
            return await self._read(request)
        body = orjson.loads(await request.read() or b"null")
        if self.failure_mode is FailureMode.WRITES_LATE:
            task = asyncio.create_task(self._write_late(request, body))
            self._tasks.add(task)
            return await self._withhold_answer(request)
        answer = self._write(request, body)
        if self.failure_mode is FailureMode.ANSWERS_LOST:
            return await self._withhold_answer(request)
        return answer

    async def _withhold_answer(
        self, request: web.Request
    ) -> web.StreamResponse:
        if self.failure_mode is not FailureMode.RESET:
            # Leaves the connection open without an answer.
            await asyncio.Event().wait()
        request.transport.abort()
        return web.Response()

    async def _answer_without_end(
        self, request: web.Request
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        self.endless_bytes = 0
        try:
            while True:
                await response.write(bytes(ENDLESS_PART_BYTES))
                self.endless_bytes += ENDLESS_PART_BYTES
        except ConnectionError:
            return response

    async def _write_late(self, request: web.Request, body) -> None:
        await asyncio.sleep(LATE_WRITE_DELAY_S)
        self._write(request, body)

    async def _read(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        name = request.match_info.get("name")
        if name is not None:
            found = self._find(kind, name)
            if found is None:
                return web.Response(status=404)
            return _make_response(200, found.record)
        if "watch" in request.query:
            return await self._watch(kind, request.query)
        return self._list(kind, request.query.get("after", ""))

    def _list(self, kind: str, after: str) -> web.Response:
        stored = self._kinds.get(kind, {})
        names = sorted(name for name in stored if name > after)
        page = names[:PAGE_SIZE]
        return _make_response(
            200,
            {
                "items": [stored[name].record for name in page],
                "more": len(names) > len(page),
                "store_revision": self.revision,
            },
        )

    async def _watch(self, kind: str, query) -> web.Response:
        after = int(query["watch"])
        if after > self.revision:
            return web.Response(status=410)
        wait_s = int(query.get("wait_ms", 0)) / _MS_PER_S
        try:
            async with asyncio.timeout(wait_s):
                while not self._has_events(kind, after):
                    self._event_added.clear()
                    await self._event_added.wait()
        except TimeoutError:
            pass
        if after < self._dropped_revision:
            return web.Response(status=410)
        events = [
            {"removed": event.is_removal, "object": event.record}
            for event in self._events
            if event.kind == kind and event.revision > after
        ]
        return _make_response(
            200, {"events": events, "store_revision": self.revision}
        )

    def _has_events(self, kind: str, after: int) -> bool:
        return after < self._dropped_revision or any(
            event.kind == kind and event.revision > after
            for event in self._events
        )

    def _write(self, request: web.Request, body) -> web.Response:
        kind = request.match_info["kind"]
        metadata = (body or {}).get("metadata", {})
        name = request.match_info.get("name") or metadata.get("name")
        found = self._find(kind, name)
        expected_revision = metadata.get("revision") or request.query.get(
            "revision"
        )
        if request.method == "POST":
            if found is not None:
                return _make_response(409, found.record)
            self.put(kind, name, body["spec"])
            return _make_response(200, self._find(kind, name).record)
        if found is None:
            return web.Response(status=404)
        if (
            expected_revision is not None
            and int(expected_revision) != found.revision
        ):
            return _make_response(409, found.record)
        if request.method == "DELETE":
            self.remove(kind, name)
            return _make_response(200, found.record)
        if request.path.endswith("/status"):
            self.put(kind, name, found.record["spec"], body["status"])
        else:
            self.put(kind, name, body["spec"], found.record["status"])
        return _make_response(200, self._find(kind, name).record)

    def _find(self, kind: str, name: str) -> _StoredObject | None:
        return self._kinds.get(kind, {}).get(name)

    def _add_event(self, event: _ChangeEvent) -> None:
        self._events.append(event)
        self._event_added.set()


def _make_response(status: int, record) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps(record),
        content_type="application/json",
    )
