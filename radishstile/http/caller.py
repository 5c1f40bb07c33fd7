"""HTTP server for callers: look-ups and requests."""

import asyncio
import logging
from typing import Protocol

import orjson
from aiohttp import web

from radishstile.call import Answer, CallerRequest
from radishstile.daemon.settings import HttpSettings
from radishstile.errors import RefusalError
from radishstile.http import headers as names
from radishstile.http.refusal import make_refusal
from radishstile.outcome import Outcome, Reason

_LOG = logging.getLogger("radishstile.caller")
LOOKUP_PATH = "/lookup"
_READ_BYTES = 65_536
_DEADLINE_DIGITS = 12


class RequestSession(Protocol):
    """A request being served, as the HTTP server sees it."""

    trace_id: str

    async def serve(self, caller_request: CallerRequest) -> Answer:
        """Return the answer, or raise `RefusalError`."""

    async def end(self, error: BaseException | None) -> None:
        """Record that the answer was sent, or the error that prevented it."""


class Service(Protocol):
    """What the HTTP server needs of the daemon."""

    def look_up(self, route: str, client: str) -> dict:
        """Return the answer to a look-up as a JSON object.

        Raises `ValueError` if `client` is not an IP address, and
        `RefusalError`.
        """

    def open_session(self, traceparent: str | None) -> RequestSession:
        """Start serving a request."""


class CallerServer:
    """Translates between HTTP and typed requests; makes no decisions."""

    __slots__ = ("_service", "_settings", "_runner", "_is_draining")

    def __init__(self, service: Service, settings: HttpSettings):
        self._service = service
        self._settings = settings
        self._runner: web.AppRunner | None = None
        self._is_draining = False

    async def start(self, address: str, port: int) -> None:
        """Listen for callers."""
        app = web.Application()
        app.router.add_get(LOOKUP_PATH, self._serve_lookup)
        # `(?s)` lets the dot match an encoded line feed in a path.
        app.router.add_route("*", "/{path:(?s:.*)}", self._serve_request)
        limit = self._settings.header_limit_bytes * 4
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            max_line_size=limit,
            max_field_size=limit,
            keepalive_timeout=self._settings.idle_timeout_s,
            shutdown_timeout=self._settings.stop_timeout_s,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, address, port).start()

    def start_draining(self) -> None:
        """Close each connection after its next answer."""
        self._is_draining = True

    async def stop(self) -> None:
        """Stop listening and let open requests finish."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve_lookup(self, request: web.Request) -> web.Response:
        client = request.query.get("client") or request.remote or ""
        try:
            result = self._service.look_up(
                request.query.get("route", ""), client
            )
        except ValueError:
            refusal = RefusalError(
                Reason.BAD_REQUEST, detail="client: expected an IP address"
            )
            return make_refusal(refusal, "")
        except RefusalError as refusal:
            return make_refusal(refusal, "")
        return web.Response(
            body=orjson.dumps(result), content_type="application/json"
        )

    async def _serve_request(self, request: web.Request) -> web.StreamResponse:
        session = self._service.open_session(
            request.headers.get(names.TRACEPARENT)
        )
        error: BaseException | None = None
        try:
            caller_request = self._decode_request(request)
            answer = await session.serve(caller_request)
            return await self._send(request, answer, session.trace_id)
        except RefusalError as refusal:
            error = refusal
            return make_refusal(refusal, session.trace_id)
        except Exception as fault:
            _LOG.exception("caller: request failed")
            error = RefusalError(Reason.INTERNAL, Outcome.UNKNOWN)
            error.__cause__ = fault
            return make_refusal(error, session.trace_id)
        except BaseException as other:
            error = other
            raise
        finally:
            await session.end(error)

    def _decode_request(self, request: web.Request) -> CallerRequest:
        raw = [
            (n.decode(), v.decode("latin-1")) for n, v in request.raw_headers
        ]
        size = sum(len(name) + len(value) for name, value in raw)
        size += len(request.raw_path)
        if size > self._settings.header_limit_bytes:
            raise RefusalError(Reason.HEADERS_TOO_LARGE)
        path, _, query = request.raw_path.partition("?")
        return CallerRequest(
            method=request.method,
            path=path,
            query=query,
            headers=names.select_request_headers(raw),
            key=_read_key(request),
            idempotency_key=request.headers.get(names.IDEMPOTENCY_KEY),
            client_address=request.remote or "",
            deadline_s=_read_deadline(request),
            traceparent=request.headers.get(names.TRACEPARENT),
            read_body=lambda limit: self._read_body(request, limit),
        )

    async def _read_body(self, request: web.Request, limit: int) -> bytes:
        too_large = RefusalError(
            Reason.BODY_TOO_LARGE, detail=f"the body exceeds {limit} bytes"
        )
        if (request.content_length or 0) > limit:
            raise too_large
        body = bytearray()
        try:
            async with asyncio.timeout(self._settings.body_timeout_s):
                async for part in request.content.iter_chunked(_READ_BYTES):
                    body += part
                    if len(body) > limit:
                        raise too_large
        except TimeoutError as error:
            raise RefusalError(Reason.SLOW_CALLER) from error
        return bytes(body)

    async def _send(
        self, request: web.Request, answer: Answer, trace_id: str
    ) -> web.StreamResponse:
        response = web.StreamResponse(status=answer.status)
        if self._is_draining:
            response.force_close()
        for name, value in names.select_answer_headers(answer.headers):
            response.headers.add(name, value)
        response.headers[names.TRACE_ID] = trace_id
        response.headers[names.OUTCOME] = "ran"
        await response.prepare(request)
        try:
            async for part in answer.parts:
                await response.write(part)
            await response.write_eof()
        except RefusalError:
            # Part of the answer has been sent: only an aborted connection
            # tells the caller that it is incomplete.
            _abort(request)
            raise
        except asyncio.CancelledError:
            _abort(request)
            raise
        return response


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


def _read_key(request: web.Request) -> str | None:
    values = request.headers.getall(names.AUTHORIZATION, [])
    if not values:
        return None
    if len(values) > 1 or not values[0].startswith(names.BEARER_PREFIX):
        raise RefusalError(
            Reason.BAD_KEY, detail="expected one Authorization: Bearer KEY"
        )
    return values[0].removeprefix(names.BEARER_PREFIX).strip()


def _read_deadline(request: web.Request) -> float | None:
    text = request.headers.get(names.DEADLINE)
    if text is None:
        return None
    is_number = text.isascii() and text.isdecimal()
    if not is_number or len(text) > _DEADLINE_DIGITS or int(text) == 0:
        detail = f"{names.DEADLINE}: expected milliseconds"
        raise RefusalError(Reason.BAD_REQUEST, detail=detail)
    return int(text) / 1000
