"""HTTP statuses: those of refused requests, and those that exist at all."""

from radishstile.outcome import Reason

# Interim answers, which have no body (RFC 9110, section 15.2). The parser
# would read others of their class as final answers with one.
INTERIM_STATUSES = frozenset({100, 102, 103})
_FIRST_FINAL = 200
_LAST_FINAL = 599

STATUSES = {
    Reason.NO_KEY: 401,
    Reason.BAD_KEY: 401,
    Reason.KEY_WITHDRAWN: 401,
    Reason.FOREIGN_KEY: 403,
    Reason.NOT_CURRENT: 503,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.SLOW_CALLER: 408,
    Reason.RATE_EXCEEDED: 429,
    Reason.OVERLOADED: 503,
    Reason.NO_UPSTREAM: 503,
    Reason.DEADLINE: 504,
    Reason.UPSTREAM_LOST: 502,
    Reason.UPSTREAM_SHED: 503,
    Reason.PEER_LOST: 502,
    Reason.KEY_REQUIRED: 400,
    Reason.DUPLICATE: 409,
    Reason.RECORD_UNAVAILABLE: 503,
    Reason.HARMFUL: 422,
    Reason.STOPPING: 503,
    Reason.INTERNAL: 500,
}


def is_final(status: int) -> bool:
    """Return whether a status of HTTP ends an exchange.

    An answer with any other number is as broken as one without a number.
    """
    return _FIRST_FINAL <= status <= _LAST_FINAL
