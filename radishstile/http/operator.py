"""HTTP server for operators: commands, health and metrics."""

import hashlib
import hmac
import json
from functools import singledispatch
from typing import Protocol

from aiohttp import web

from radishstile import errors
from radishstile.operation.command import Command, make_command

_SCHEME = "Bearer "
_BODY_LIMIT_BYTES = 2 * 1_048_576


class Service(Protocol):
    """What the HTTP server needs of the daemon."""

    async def execute(self, command: Command, operator: str) -> object:
        """Execute a command and return a JSON-compatible result."""

    def list_unready_reasons(self) -> list[str]:
        """Return why this host is not ready; empty when it is."""

    def render_metrics(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of the answer to a scrape."""


class OperatorServer:
    """Translates between HTTP and typed commands."""

    __slots__ = ("_service", "_operators", "_runner")

    def __init__(self, service: Service, operators: dict[str, str]):
        self._service = service
        self._operators = operators
        self._runner: web.AppRunner | None = None

    async def start(self, address: str, port: int) -> None:
        """Listen for operators."""
        app = web.Application(client_max_size=_BODY_LIMIT_BYTES)
        app.router.add_post("/v1/{command}", self._execute)
        app.router.add_get("/metrics", self._show_metrics)
        app.router.add_get("/healthz", self._show_health)
        app.router.add_get("/readyz", self._show_readiness)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, address, port).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _execute(self, request: web.Request) -> web.Response:
        operator = self._authenticate(request)
        if operator is None:
            return _make_error_answer("unknown operator or wrong token", 401)
        try:
            fields = json.loads(await request.read() or b"{}")
        except ValueError as error:
            return _make_error_answer(f"the body is not JSON: {error}", 400)
        try:
            command = make_command(request.match_info["command"], fields)
            result = await self._service.execute(command, operator)
        except errors.RadishstileError as error:
            return _make_error_answer(str(error), find_status(error))
        return web.json_response(result)

    def _authenticate(self, request: web.Request) -> str | None:
        text = request.headers.get("Authorization", "")
        name, _, token = text.removeprefix(_SCHEME).partition(":")
        expected = self._operators.get(name, "")
        digest = hashlib.sha256(token.encode()).hexdigest()
        return name if hmac.compare_digest(digest, expected) else None

    async def _show_metrics(self, request: web.Request) -> web.Response:
        accept = request.headers.get("Accept", "text/plain")
        body, headers = self._service.render_metrics(accept)
        return web.Response(body=body, headers=headers)

    async def _show_health(self, _request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _show_readiness(self, _request: web.Request) -> web.Response:
        reasons = self._service.list_unready_reasons()
        if reasons:
            return web.Response(status=503, text="\n".join(reasons) + "\n")
        return web.Response(text="ready\n")


def _make_error_answer(text: str, status: int) -> web.Response:
    return web.json_response({"error": text}, status=status)


@singledispatch
def find_status(error) -> int:
    """Return the HTTP status for an error of a command."""
    return 500


@find_status.register
def _(error: errors.ConfigurationError) -> int:
    return 400


@find_status.register
def _(error: errors.OperatorError) -> int:
    return 400


@find_status.register
def _(error: errors.StaleVersionError) -> int:
    return 409


@find_status.register
def _(error: errors.PlatformError) -> int:
    return 503
