"""Names of headers and rules for passing them on."""

KEY = "Authorization"
KEY_SCHEME = "Bearer "
IDEMPOTENCY_KEY = "Idempotency-Key"
DEADLINE = "X-Deadline-Ms"
WORKSPACE = "X-Workspace"
TRACEPARENT = "traceparent"
OUTCOME = "X-Radishstile-Outcome"
REASON = "X-Radishstile-Reason"
TRACE_ID = "X-Radishstile-Trace"
UPSTREAM_OUTCOME = "X-Upstream-Outcome"

# Headers that end at each hop (RFC 9110, section 7.6.1), and those that
# this system sets itself.
_HOP_HEADERS = frozenset(
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
_LENGTH = "content-length"
_CODING = "transfer-encoding"
_OWN_REQUEST_HEADERS = frozenset(
    {
        "host",
        _LENGTH,
        KEY.lower(),
        DEADLINE.lower(),
        WORKSPACE.lower(),
        TRACEPARENT,
        "tracestate",
    }
)
_OWN_ANSWER_HEADERS = frozenset(
    {OUTCOME.lower(), REASON.lower(), TRACE_ID.lower()}
)

Headers = list[tuple[str, str]]


def _list_hop_names(headers: Headers) -> set[str]:
    named = {
        name.strip().lower()
        for header, value in headers
        if header.lower() == "connection"
        for name in value.split(",")
    }
    return named | _HOP_HEADERS


def select_request_headers(headers: Headers) -> Headers:
    """Return the headers of a call that an upstream may see."""
    dropped = _list_hop_names(headers) | _OWN_REQUEST_HEADERS
    return [(n, v) for n, v in headers if n.lower() not in dropped]


def select_answer_headers(headers: Headers) -> Headers:
    """Return the headers of an answer that the caller may see.

    A length beside a transfer coding says nothing and is dropped.
    """
    dropped = _list_hop_names(headers) | _OWN_ANSWER_HEADERS
    if any(name.lower() == _CODING for name, _ in headers):
        dropped |= {_LENGTH}
    return [(n, v) for n, v in headers if n.lower() not in dropped]
