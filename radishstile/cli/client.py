"""HTTP client for a daemon's operator interface."""

import json
import os
from functools import singledispatch
from pathlib import Path

import aiohttp

from radishstile.errors import OperatorError

_TIMEOUT_S = 20


class OperatorClient:
    """Sends commands to one daemon as a named operator."""

    __slots__ = ("_url", "_name", "_token")

    def __init__(self, url: str, name: str, token: str):
        self._url = url.rstrip("/")
        self._name = name
        self._token = token

    async def execute(self, command: str, **fields) -> object:
        """Run a command and return its result; raises `OperatorError`."""
        headers = {"Authorization": f"Bearer {self._name}:{self._token}"}
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        url = f"{self._url}/v1/{command}"
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, json=fields, headers=headers) as response,
            ):
                body = await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise OperatorError(
                f"{self._url}: {describe_error(error)}"
            ) from error
        if response.status != 200:
            raise OperatorError(body.get("error", f"status {response.status}"))
        return body


@singledispatch
def describe_error(error) -> str:
    """Return one line that says why a request failed."""
    return str(error) or type(error).__name__


@describe_error.register
def _(error: aiohttp.ClientConnectorError) -> str:
    return f"can't connect: {os.strerror(error.errno or 0)}"


@describe_error.register
def _(error: aiohttp.ContentTypeError) -> str:
    return f"status {error.status}, and the answer is not JSON"


@describe_error.register
def _(error: TimeoutError) -> str:
    return "no answer in time"


def read_json_file(path: str) -> object:
    """Return the JSON value in the file at `path`."""
    try:
        return json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise OperatorError(f"{path}: not JSON: {error}") from error
