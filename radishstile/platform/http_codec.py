"""Decodes and encodes HTTP messages with the platform's headers.

Requests go from callers to upstreams, and answers back.
"""

import json
import math
import re

from radishstile.entry.caller_request import CallerRequest
from radishstile.errors import LoadReportError, RefusalError
from radishstile.http.message import AnswerHead, Headers, Request
from radishstile.http.statuses import STATUSES
from radishstile.outcome import Outcome, Reason
from radishstile.slot.claim import Ending
from radishstile.slot.load_report import LoadReport, check_report
from radishstile.upstream.registration import Registration

REQUEST_ID = b"x-request-id"
_DEADLINE = b"x-deadline-ms"
_AFFINITY = b"x-affinity-key"
_AUTHORIZATION = b"authorization"
_BEARER_PREFIX = "bearer "
# Names the workspace to an upstream; a caller's value is replaced.
_WORKSPACE = b"x-tenant"
# Makes any other upstream answer 421 without running the request.
_EXPECTED_UPSTREAM = b"x-expect-instance"
# A signature that upstreams add to their answers.
_RESPONSE_STAMP = b"x-response-stamp"
# Set by an upstream that did not run the request.
_NOT_EXECUTED = b"x-not-executed"
# Requests a second that an upstream takes from all hosts together.
_RATE_LIMIT = b"server-limit"
# Set to 1 by an upstream that leaves.
_LEAVING = b"server-leaving"
# Seconds in which an upstream that turned a request away wants no other one.
_RETRY_AFTER = b"retry-after"
_MAX_PAUSE_S = 300.0
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
_MAX_RATE_PER_S = 1e6
# Requests running and waiting at an upstream, its slots, and how long work
# takes there at this moment, 100 as usual; some name no fourth figure.
_SERVER_LOAD = b"x-server-load"
_LOAD_FIGURES = re.compile(
    rb"([0-9]{1,9}) *, *([0-9]{1,9}) *, *([0-9]{1,9})"
    rb"(?: *, *([0-9]{1,9}(?:\.[0-9]{1,9})?))?"
)
_USUAL_PACE = 100.0
_MS_PER_S = 1000

_MISDIRECTED = 421
_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_SERVER_ERROR = 500
_SUCCESS_MIN = 200
_REDIRECT_MIN = 300

# Statuses that tell the caller that the request was not run and won't be.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Statuses that suggest that an upstream may have run the request.
_RUN_STATUSES = frozenset({500, 502, 504})

# Headers that concern one connection only (RFC 9110, section 7.6.1).
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
# Request headers that are dropped or set anew for an upstream.
_REPLACED_HEADERS = frozenset(
    {_AUTHORIZATION, _WORKSPACE, _EXPECTED_UPSTREAM, _DEADLINE}
)

_REASON_PHRASES = {
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def decode_caller_request(request: Request) -> CallerRequest:
    """Return the decoded request of a caller.

    Raises `RefusalError` if a required header is missing or malformed.
    """
    request_id = _read_text(request, REQUEST_ID)
    host = _read_text(request, b"host")
    if not request_id or not host:
        raise RefusalError(
            Reason.BAD_REQUEST, detail="X-Request-Id or Host is missing"
        )
    scheme_and_key = _read_text(request, _AUTHORIZATION)
    key = ""
    if scheme_and_key.lower().startswith(_BEARER_PREFIX):
        key = scheme_and_key[len(_BEARER_PREFIX) :].strip()
    return CallerRequest(
        request,
        request_id,
        host.rpartition(":")[0].lower() if ":" in host else host.lower(),
        key,
        _read_text(request, _AFFINITY),
        _read_deadline(request),
    )


def encode_request_head(
    caller_request: CallerRequest,
    upstream: Registration,
    workspace: str,
    remaining_s: float,
) -> bytes:
    """Return a request's head as sent to an upstream, without the body.

    `remaining_s` is the time until the caller's deadline, in seconds.
    """
    request = caller_request.http_request
    lines = [b"%b %b HTTP/1.1" % (request.method, request.target)]
    dropped = (
        _HOP_BY_HOP_HEADERS
        | _REPLACED_HEADERS
        | _list_connection_options(request.headers)
    )
    lines += [
        b"%b: %b" % (name, value)
        for name, value in request.headers
        if name not in dropped
    ]
    lines.append(b"X-Deadline-Ms: %d" % max(1, int(remaining_s * _MS_PER_S)))
    lines.append(b"X-Expect-Instance: " + upstream.upstream_id.encode())
    if workspace:
        lines.append(b"X-Tenant: " + workspace.encode())
    if request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def classify_answer(head: AnswerHead) -> Ending:
    """Return how a run ended, from the status and headers of the answer."""
    if head.status == _MISDIRECTED:
        return Ending.MISDIRECTED
    if head.find(_NOT_EXECUTED) is not None:
        return Ending.SHED
    is_success = _SUCCESS_MIN <= head.status < _REDIRECT_MIN
    if is_success and head.find(_RESPONSE_STAMP) is None:
        return Ending.BROKEN
    if head.status >= _SERVER_ERROR:
        return Ending.FAILED
    return Ending.SERVED


def read_rate_limit(head: AnswerHead) -> float | None:
    """Return the requests a second that the upstream takes from all hosts.

    Infinity if the answer names no limit, None if it can't be told, as the
    header is doubled or no sensible number.
    """
    values = head.find_all(_RATE_LIMIT)
    if not values:
        return math.inf
    if len(values) > 1 or not _DECIMAL.fullmatch(values[0]):
        return None
    rate = float(values[0])
    return rate if rate <= _MAX_RATE_PER_S else None


def read_leaving(head: AnswerHead) -> bool | None:
    """Return whether the upstream says that it leaves.

    None if that can't be told, as the header is doubled or has another value.
    An answer to a misdirected request is that of another upstream.
    """
    values = head.find_all(_LEAVING)
    if not values or head.status == _MISDIRECTED:
        return False
    return True if values == [b"1"] else None


def read_pause(head: AnswerHead) -> float | None:
    """Return the seconds in which the upstream wants nothing from this host.

    0 without such a request, None if it can't be told, as the header of an
    answer 503 is doubled, no number of seconds, or too large.
    """
    values = head.find_all(_RETRY_AFTER)
    if head.status != _UNAVAILABLE or not values:
        return 0.0
    if len(values) > 1 or not _DECIMAL.fullmatch(values[0]):
        return None
    pause_s = float(values[0])
    return pause_s if pause_s <= _MAX_PAUSE_S else None


def read_load(head: AnswerHead, now: float) -> LoadReport | None:
    """Return the load that the upstream names, or None if it names none.

    `now` is the loop's time, in seconds. Raises `LoadReportError` if the
    header is doubled, malformed or names impossible figures.
    """
    values = head.find_all(_SERVER_LOAD)
    if not values:
        return None
    figures = _LOAD_FIGURES.fullmatch(values[0])
    if len(values) > 1 or figures is None:
        raise LoadReportError("X-Server-Load is doubled or malformed")
    running, waiting, slots, pace = figures.groups()
    return check_report(
        LoadReport(
            int(running),
            int(waiting),
            int(slots),
            None if pace is None else float(pace) / _USUAL_PACE,
            now,
        )
    )


def read_keepalive_timeout(head: AnswerHead) -> float | None:
    """Return the `timeout` of the `Keep-Alive` header in seconds, if any."""
    for part in (head.find(b"keep-alive") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return None


def encode_answer(
    head: AnswerHead, length: int | None, must_close: bool
) -> bytes:
    """Return the head of an upstream's answer as sent to the caller.

    `length` is the size of the body in bytes, or None for a chunked body;
    `must_close` announces that the connection is closed after the answer.
    """
    lowered = [(name.lower(), value) for name, value in head.headers]
    dropped = _HOP_BY_HOP_HEADERS | _list_connection_options(lowered)
    lines = [
        b"HTTP/1.1 %d %b" % (head.status, _get_reason_phrase(head.status))
    ]
    lines += [
        b"%b: %b" % (name, value)
        for name, value in head.headers
        if name.lower() not in dropped
    ]
    if length is None:
        lines.append(b"Transfer-Encoding: chunked")
    else:
        lines.append(b"Content-Length: %d" % length)
    if must_close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def find_status(refusal: RefusalError) -> int:
    """Return the status of a refusal.

    A status that implies "not run" is used only where that is known.
    """
    status = STATUSES[refusal.reason]
    if refusal.reason is Reason.HARMFUL:
        status = _UNAVAILABLE
    if refusal.outcome is Outcome.NOT_RUN:
        return _UNAVAILABLE if status in _RUN_STATUSES else status
    return _BAD_GATEWAY if status in _NOT_RUN_STATUSES else status


def encode_refusal(
    refusal: RefusalError, request_id: str, must_close: bool
) -> bytes:
    """Return the complete answer to a refused request."""
    status = find_status(refusal)
    body = {
        "reason": refusal.reason.value,
        "outcome": refusal.outcome.value,
        "detail": str(refusal),
    }
    content = json.dumps(body).encode() + b"\n"
    lines = [
        b"HTTP/1.1 %d %b" % (status, _get_reason_phrase(status)),
        b"Content-Type: application/json",
        b"Content-Length: %d" % len(content),
    ]
    if request_id:
        lines.append(b"X-Request-Id: " + request_id.encode("latin-1"))
    if refusal.retry_after is not None and status in _NOT_RUN_STATUSES:
        lines.append(b"Retry-After: %.2f" % refusal.retry_after)
    if must_close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + content


def _read_text(request: Request, name: bytes) -> str:
    value = request.find(name)
    return "" if value is None else value.decode("latin-1").strip()


def _read_deadline(request: Request) -> float | None:
    text = _read_text(request, _DEADLINE)
    if not text:
        return None
    try:
        return max(0.0, float(text) / _MS_PER_S)
    except ValueError as error:
        raise RefusalError(
            Reason.BAD_REQUEST, detail="X-Deadline-Ms is not a number"
        ) from error


def _list_connection_options(headers: Headers) -> set[bytes]:
    """Return the lower-case header names that `Connection` lists."""
    return {
        name.strip().lower()
        for header, value in headers
        if header == b"connection"
        for name in value.split(b",")
    }


def _get_reason_phrase(status: int) -> bytes:
    return _REASON_PHRASES.get(
        status, b"OK" if status < _REDIRECT_MIN else b"Status"
    )
