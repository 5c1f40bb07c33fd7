"""A stand-in for the platform's store: objects, watches and machines."""

import asyncio
import json
import logging
import sys
from functools import partial

from aiohttp import web

from standin.calls import CallCounts, CallKind, FixedWindowLimiter
from standin.faults import StoreFaults, apply_faults, list_faults
from standin.history import History
from standin.object_table import (
    ObjectTable,
    ObjectVersion,
    VersionMismatchError,
)
from standin.process import run_servers
from standin.settings import StoreSettings, read_store_settings

VALUE_LIMIT_BYTES = 1_048_576
BODY_LIMIT_BYTES = 4 * VALUE_LIMIT_BYTES
WATCH_LIMIT_S = 60.0
SHUTDOWN_S = 1.0
MACHINE_STATES = ("live", "leaving", "gone")

log = logging.getLogger(__name__)


class StoreServer:
    """Serves the object API over HTTP and JSON, with all data in memory."""

    __slots__ = (
        "settings",
        "faults",
        "calls",
        "port",
        "_objects",
        "_machines",
        "_limiters",
        "_change_events",
        "_is_stopping",
        "_runner",
    )

    def __init__(self, settings: StoreSettings):
        self.settings = settings
        self.faults = StoreFaults(
            settings.delay_s, settings.read_lag_s, settings.list_lag_s
        )
        self.calls = CallCounts()
        self.port = settings.port
        self._objects = ObjectTable()
        self._machines = History(float("-inf"), {})
        reads = FixedWindowLimiter(settings.reads_per_s)
        self._limiters = {kind: reads for kind in CallKind}
        self._limiters[CallKind.WRITE] = FixedWindowLimiter(
            settings.writes_per_s
        )
        self._change_events: dict[str, asyncio.Event] = {}
        self._is_stopping = False
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on the configured address; `port` becomes the actual port."""
        app = web.Application(client_max_size=BODY_LIMIT_BYTES)
        app.add_routes(self._list_routes())
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self.settings.address,
            self.port,
            shutdown_timeout=SHUTDOWN_S,
        )
        await site.start()
        self.port = self._runner.addresses[0][1]
        log.info("store: listening on port %d", self.port)

    async def stop(self) -> None:
        """End pending watches and stop listening."""
        self._is_stopping = True
        for event in self._change_events.values():
            event.set()
        await self._runner.cleanup()
        log.info("store: stopped")

    def set_machine(self, name: str, state: str) -> None:
        """Set the state of a machine in the platform's list."""
        machines = {**self._machines.current, name: state}
        self._machines.record(_now(), machines)

    def _list_routes(self) -> list[web.RouteDef]:
        wrap = self._wrap_handler
        name = "/{name:.+}"
        return [
            web.get(f"/v1/objects{name}", wrap(CallKind.READ, self._read)),
            web.put(f"/v1/objects{name}", wrap(CallKind.WRITE, self._put)),
            web.delete(
                f"/v1/objects{name}", wrap(CallKind.WRITE, self._delete)
            ),
            web.get(f"/v1/watch{name}", wrap(CallKind.WATCH, self._watch)),
            web.get("/v1/list/{name:.*}", wrap(CallKind.LIST, self._list)),
            web.get("/v1/machines", wrap(CallKind.LIST, self._list_machines)),
            web.put("/v1/machines/{name}", self._put_machine),
            web.get("/v1/calls", self._show_calls),
            web.get("/v1/faults", self._show_faults),
            web.put("/v1/faults", self._put_faults),
        ]

    def _wrap_handler(self, kind: CallKind, handler):
        return partial(self._handle_call, kind, handler)

    async def _handle_call(
        self, kind: CallKind, handler, request: web.Request
    ) -> web.StreamResponse:
        name = request.match_info.get("name", "machines")
        if self.faults.outage:
            self.calls.refused += 1
            return _make_error(503, "outage")
        if not self._limiters[kind].try_acquire(_now()):
            self.calls.refused += 1
            return _make_error(429, "rate cap")
        self.calls.add(kind, name)
        # A delayed call takes effect even if the caller has disconnected.
        await request.read()
        await asyncio.sleep(self.faults.delay_s)
        try:
            return await handler(name, request)
        except VersionMismatchError as error:
            return _make_error(409, "version", error.current)
        except (KeyError, TypeError, ValueError) as error:
            return _make_error(400, f"malformed: {error}")

    async def _read(self, name: str, _: web.Request) -> web.Response:
        object_version = self._objects.get(
            name, _now() - self.faults.read_lag_s
        )
        if not object_version.exists:
            return _make_error(404, "absent", object_version)
        return web.json_response(_encode(object_version))

    async def _put(self, name: str, request: web.Request) -> web.Response:
        body = await request.json()
        size = len(json.dumps(body["value"], ensure_ascii=False).encode())
        if size > VALUE_LIMIT_BYTES:
            return _make_error(413, "value is too large")
        expected = int(body["expected_version"])
        write_id = str(body["write_id"])
        object_version = self._objects.put(
            name, body["value"], expected, write_id, _now()
        )
        return self._answer_write(object_version, request)

    async def _delete(self, name: str, request: web.Request) -> web.Response:
        expected = int(request.query["expected_version"])
        write_id = request.query.get("write_id", "")
        object_version = self._objects.delete(name, expected, write_id, _now())
        return self._answer_write(object_version, request)

    def _answer_write(
        self, object_version: ObjectVersion, request: web.Request
    ):
        event = self._change_events.pop(object_version.name, None)
        if event is not None:
            event.set()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abort()
        return web.json_response({"version": object_version.version})

    async def _watch(self, name: str, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        wait_s = min(float(request.query["wait_s"]), WATCH_LIMIT_S)
        try:
            async with asyncio.timeout(wait_s):
                object_version = await self._wait_for_version(name, after)
        except TimeoutError:
            return web.Response(status=204)
        if object_version is None or self.faults.outage:
            return _make_error(503, "outage")
        return web.json_response(_encode(object_version))

    async def _wait_for_version(
        self, name: str, after: int
    ) -> ObjectVersion | None:
        while not self._is_stopping:
            object_version = self._objects.get(name)
            if object_version.exists and object_version.version > after:
                return object_version
            event = self._change_events.setdefault(name, asyncio.Event())
            await event.wait()
        return None

    async def _list(self, prefix: str, _: web.Request) -> web.Response:
        at = _now() - self.faults.list_lag_s
        versions = self._objects.list(prefix, at)
        return web.json_response(
            [_encode(object_version) for object_version in versions]
        )

    async def _list_machines(self, _: str, __: web.Request) -> web.Response:
        at = _now() - self.faults.list_lag_s
        return web.json_response(self._machines.get(at))

    async def _put_machine(self, request: web.Request) -> web.Response:
        state = (await request.json()).get("state")
        if state not in MACHINE_STATES:
            return _make_error(400, f"state is not one of {MACHINE_STATES}")
        self.set_machine(request.match_info["name"], state)
        return web.json_response({"state": state})

    async def _show_calls(self, _: web.Request) -> web.Response:
        return web.json_response(self.calls.to_record())

    async def _show_faults(self, _: web.Request) -> web.Response:
        return web.json_response(list_faults(self.faults))

    async def _put_faults(self, request: web.Request) -> web.Response:
        try:
            apply_faults(self.faults, await request.json())
        except (KeyError, TypeError, ValueError) as error:
            return _make_error(400, f"malformed: {error}")
        log.info("store: faults set to %s", list_faults(self.faults))
        return web.json_response(list_faults(self.faults))


def _now() -> float:
    return asyncio.get_running_loop().time()


def _encode(object_version: ObjectVersion) -> dict:
    return {
        "name": object_version.name,
        "version": object_version.version,
        "value": object_version.value,
        "write_id": object_version.write_id,
        "written_at": object_version.written_at,
    }


def _make_error(
    status: int, error: str, object_version: ObjectVersion | None = None
) -> web.Response:
    record = {"error": error}
    if object_version is not None:
        record["version"] = object_version.version
        record["write_id"] = object_version.write_id
        record["deleted"] = object_version.is_deleted
    return web.json_response(record, status=status)


def main() -> int:
    """Run the store that the settings file describes."""
    return run_servers(
        read_store_settings, lambda settings: [StoreServer(settings)]
    )


if __name__ == "__main__":
    sys.exit(main())
