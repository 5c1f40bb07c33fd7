"""A stand-in for an upstream with slots, load reports and faults."""

import asyncio
import logging
import sys
from functools import singledispatch

from aiohttp import web

from standin.faults import UpstreamFaults, apply_faults, list_faults
from standin.history import History
from standin.plan import (
    CrashPlan,
    ResponsePlan,
    SilentPlan,
    StreamPlan,
    TruncatedPlan,
    parse_plan,
)
from standin.process import run_servers
from standin.record import Ending, RequestRecord
from standin.settings import UpstreamSettings, read_upstream_settings
from standin.slots import SlotPool

DEADLINE_HEADER = "x-deadline-ms"
OUTCOME_HEADER = "x-upstream-outcome"
UPSTREAM_HEADER = "x-upstream"
WORKSPACE_HEADER = "x-workspace"
BODY_LIMIT_BYTES = 64 * 1_048_576
CHUNK_BYTES = 16_384
SHUTDOWN_S = 10.0

log = logging.getLogger(__name__)


class UpstreamServer:
    """Serves requests in its slots and records each of them."""

    __slots__ = (
        "settings",
        "faults",
        "records",
        "port",
        "_pool",
        "_health",
        "_runner",
        "_site",
        "_restart_task",
        "_is_crashed",
    )

    def __init__(self, settings: UpstreamSettings):
        self.settings = settings
        self.faults = UpstreamFaults()
        self.records: list[RequestRecord] = []
        self.port = settings.port
        self._pool: SlotPool | None = None
        self._health: History | None = None
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._restart_task: asyncio.Task | None = None
        self._is_crashed = False

    async def start(self) -> None:
        """Listen on the configured address; `port` becomes the actual port."""
        app = web.Application(client_max_size=BODY_LIMIT_BYTES)
        app.add_routes(
            [
                web.get("/health", self._show_health),
                web.get("/load", self._show_load),
                web.get("/records", self._show_records),
                web.delete("/records", self._clear_records),
                web.get("/faults", self._show_faults),
                web.put("/faults", self._put_faults),
                web.route("*", "/{path:.*}", self._serve),
            ]
        )
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_S,
        )
        await self._runner.setup()
        now = _now()
        self._health = History(now, {"status": self._status, "since": now})
        await self._listen()

    async def stop(self) -> None:
        """Stop listening and let running requests finish."""
        if self._restart_task is not None:
            self._restart_task.cancel()
            await asyncio.gather(self._restart_task, return_exceptions=True)
        await self._runner.cleanup()
        log.info("upstream: %s stopped", self.settings.name)

    def set_faults(self, **values) -> None:
        """Set the given faults and update the health report."""
        apply_faults(self.faults, values)
        if self._status != self._health.current["status"]:
            self._record_health()
        log.info("upstream: %s: faults changed", self.settings.name)

    def crash(self) -> None:
        """Close all sockets, and listen again after the restart time."""
        if not self._is_crashed:
            self._is_crashed = True
            self._restart_task = asyncio.create_task(
                self._restart_after_crash()
            )

    def get_work_s(self, plan: ResponsePlan) -> float:
        """Return the processing time of a request with `plan`, in seconds."""
        if plan.work_s is not None:
            return plan.work_s
        return self._pool.get_service_s(_now())

    async def _listen(self) -> None:
        self._pool = SlotPool(self.settings, _now())
        self._record_health()
        self._is_crashed = False
        self._site = web.TCPSite(
            self._runner, self.settings.address, self.port
        )
        await self._site.start()
        self.port = self._runner.addresses[0][1]
        name = self.settings.name
        log.info("upstream: %s listening on port %d", name, self.port)

    async def _restart_after_crash(self) -> None:
        log.info("upstream: %s crashed", self.settings.name)
        await self._site.stop()
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await asyncio.sleep(self.settings.restart_s)
        await self._listen()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        headers = [list(item) for item in request.headers.items()]
        record = RequestRecord(
            _now(), request.method, request.path_qs, headers
        )
        self.records.append(record)
        try:
            record.set_body(await request.read())
            response = await self._run_within_limits(request, record)
            if record.ending is Ending.RUNNING:
                record.ending = Ending.DONE
            return response
        except (asyncio.CancelledError, ConnectionError):
            is_crashed = self._is_crashed
            record.ending = Ending.CRASHED if is_crashed else Ending.CANCELLED
            raise
        finally:
            record.ended_at = _now()

    async def _run_within_limits(
        self, request: web.Request, record: RequestRecord
    ) -> web.StreamResponse:
        if self.faults.down:
            record.ending = Ending.DOWN
            request.transport.abort()
            return web.Response()
        if self.faults.shed or not self._pool.has_capacity:
            record.ending = Ending.SHED
            return _reject(503, "not-run")
        deadline_text = request.headers.get(DEADLINE_HEADER)
        limit_s = float(deadline_text) / 1000 if deadline_text else None
        try:
            async with asyncio.timeout(limit_s):
                return await self._run(request, record)
        except TimeoutError:
            return self._answer_deadline(request, record)

    def _answer_deadline(
        self, request: web.Request, record: RequestRecord
    ) -> web.Response:
        record.ending = Ending.DEADLINE
        if not record.has_run:
            return _reject(504, "not-run")
        if request.writer.output_size > 0:
            request.transport.abort()
        return _reject(504, "unknown")

    async def _run(
        self, request: web.Request, record: RequestRecord
    ) -> web.StreamResponse:
        plan = parse_plan(request.query, request.headers)
        pool = self._pool
        await pool.acquire()
        record.started_at = _now()
        try:
            await asyncio.sleep(self.get_work_s(plan))
            return await _respond(plan, self, request, record)
        finally:
            pool.release()

    @property
    def _status(self) -> str:
        if self.faults.down:
            return "down"
        if self.faults.draining:
            return "draining"
        return "ok"

    def _record_health(self) -> None:
        now = _now()
        self._health.record(now, {"status": self._status, "since": now})

    async def _show_health(self, _: web.Request) -> web.Response:
        health = self._health.get(_now() - self.faults.lag_s)
        if self.faults.health_lie:
            health = {**health, "status": "ok"}
        return web.json_response(health)

    async def _show_load(self, _: web.Request) -> web.Response:
        busy = self._pool.get_busy_slots(_now() - self.faults.lag_s)
        if self.faults.load_lie:
            busy = 0
        return web.json_response({"busy": busy, "slots": self.settings.slots})

    async def _show_records(self, _: web.Request) -> web.Response:
        return web.json_response(
            [record.to_record() for record in self.records]
        )

    async def _clear_records(self, _: web.Request) -> web.Response:
        self.records.clear()
        return web.Response(status=204)

    async def _show_faults(self, _: web.Request) -> web.Response:
        return web.json_response(list_faults(self.faults))

    async def _put_faults(self, request: web.Request) -> web.Response:
        try:
            self.set_faults(**await request.json())
        except (KeyError, TypeError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response(list_faults(self.faults))


@singledispatch
async def _respond(
    plan: ResponsePlan,
    server: UpstreamServer,
    request: web.Request,
    record: RequestRecord,
) -> web.StreamResponse:
    body = {
        "upstream": server.settings.name,
        "path": request.path,
        "workspace": request.headers.get(WORKSPACE_HEADER),
        "body_sha256": record.body_sha256,
        "n": len(server.records),
    }
    headers = {UPSTREAM_HEADER: server.settings.name}
    return web.json_response(body, status=plan.status, headers=headers)


@_respond.register
async def _respond_stream(
    plan: StreamPlan,
    server: UpstreamServer,
    request: web.Request,
    record: RequestRecord,
) -> web.StreamResponse:
    response = await _write_bytes(plan, server, request, plan.size)
    await response.write_eof()
    return response


@_respond.register
async def _respond_truncated(
    plan: TruncatedPlan,
    server: UpstreamServer,
    request: web.Request,
    record: RequestRecord,
) -> web.StreamResponse:
    response = await _write_bytes(plan, server, request, plan.cut)
    record.ending = Ending.CUT
    request.transport.close()
    return response


@_respond.register
async def _never_respond(
    plan: SilentPlan,
    server: UpstreamServer,
    request: web.Request,
    record: RequestRecord,
) -> web.StreamResponse:
    await asyncio.Event().wait()
    return web.Response()


@_respond.register
async def _crash(
    plan: CrashPlan,
    server: UpstreamServer,
    request: web.Request,
    record: RequestRecord,
) -> web.StreamResponse:
    server.crash()
    await asyncio.Event().wait()
    return web.Response()


async def _write_bytes(
    plan: ResponsePlan, server: UpstreamServer, request: web.Request, size: int
) -> web.StreamResponse:
    headers = {UPSTREAM_HEADER: server.settings.name}
    response = web.StreamResponse(status=plan.status, headers=headers)
    response.enable_chunked_encoding()
    await response.prepare(request)
    chunk = bytes(CHUNK_BYTES)
    while size > 0:
        await response.write(chunk[:size])
        size -= len(chunk)
    return response


def _reject(status: int, outcome: str) -> web.Response:
    headers = {OUTCOME_HEADER: outcome}
    return web.json_response(
        {"error": outcome}, status=status, headers=headers
    )


def _now() -> float:
    return asyncio.get_running_loop().time()


def main() -> int:
    """Run the upstreams that the settings file names."""
    return run_servers(
        read_upstream_settings,
        lambda settings: [UpstreamServer(each) for each in settings],
    )


if __name__ == "__main__":
    sys.exit(main())
