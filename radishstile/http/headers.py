"""Header names, and rules for forwarding headers."""

AUTHORIZATION = "Authorization"
BEARER_PREFIX = "Bearer "
IDEMPOTENCY_KEY = "Idempotency-Key"
DEADLINE = "X-Deadline-Ms"
WORKSPACE = "X-Workspace"
TRACEPARENT = "traceparent"
OUTCOME = "X-Radishstile-Outcome"
REASON = "X-Radishstile-Reason"
TRACE_ID = "X-Radishstile-Trace"
UPSTREAM_OUTCOME = "X-Upstream-Outcome"

# Headers that are not forwarded (RFC 9110, section 7.6.1).
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
_CONTENT_LENGTH = "content-length"
_TRANSFER_ENCODING = "transfer-encoding"
# Headers that are dropped or set anew.
_REPLACED_REQUEST_HEADERS = frozenset(
    {
        "host",
        _CONTENT_LENGTH,
        AUTHORIZATION.lower(),
        DEADLINE.lower(),
        WORKSPACE.lower(),
        TRACEPARENT,
        "tracestate",
    }
)
_REPLACED_ANSWER_HEADERS = frozenset(
    {OUTCOME.lower(), REASON.lower(), TRACE_ID.lower()}
)

Headers = list[tuple[str, str]]


def _list_hop_by_hop_headers(headers: Headers) -> set[str]:
    named = {
        name.strip().lower()
        for header, value in headers
        if header.lower() == "connection"
        for name in value.split(",")
    }
    return named | _HOP_BY_HOP_HEADERS


def select_request_headers(headers: Headers) -> Headers:
    """Return the headers of a request that are forwarded to an upstream."""
    dropped = _list_hop_by_hop_headers(headers) | _REPLACED_REQUEST_HEADERS
    return [(n, v) for n, v in headers if n.lower() not in dropped]


def select_answer_headers(headers: Headers) -> Headers:
    """Return the headers of an answer that are forwarded to the caller.

    `Content-Length` is dropped where `Transfer-Encoding` overrides it.
    """
    dropped = _list_hop_by_hop_headers(headers) | _REPLACED_ANSWER_HEADERS
    if any(name.lower() == _TRANSFER_ENCODING for name, _ in headers):
        dropped |= {_CONTENT_LENGTH}
    return [(n, v) for n, v in headers if n.lower() not in dropped]
