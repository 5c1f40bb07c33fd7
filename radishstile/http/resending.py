"""Client middleware that disables the retries of aiohttp.

It also rejects answers whose status is none of HTTP.
"""

import aiohttp

from radishstile.errors import RadishstileError
from radishstile.http.statuses import is_final


class ConnectionLostError(RadishstileError):
    """The connection ended after a request may have been sent on it."""


async def forbid_retry(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Turn lost connections into an error that aiohttp does not retry.

    It would send GET, PUT and DELETE again when a connection is lost, but the
    caller has to decide on each attempt and count it. Errors of a connect
    pass unchanged, since nothing was sent. An answer with a number that is no
    status is lost, too.
    """
    try:
        response = await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(type(error).__name__) from error
    if not is_final(response.status):
        response.close()
        raise ConnectionLostError(f"{response.status:03} is no status of HTTP")
    return response
