"""HTTP answers to refused requests."""

import json
import math

from aiohttp import web

from radishstile.errors import RefusalError
from radishstile.http import headers
from radishstile.http.statuses import STATUSES


def make_refusal(refusal: RefusalError, trace_id: str) -> web.Response:
    """Return the HTTP answer to a refused request."""
    body = {
        "reason": refusal.reason.value,
        "outcome": refusal.outcome.value,
        "detail": str(refusal),
        "trace": trace_id,
    }
    response = web.Response(
        status=STATUSES[refusal.reason],
        text=json.dumps(body) + "\n",
        content_type="application/json",
    )
    response.headers[headers.OUTCOME] = refusal.outcome.value
    response.headers[headers.REASON] = refusal.reason.value
    if trace_id:
        response.headers[headers.TRACE_ID] = trace_id
    if refusal.retry_after is not None:
        seconds = max(1, math.ceil(refusal.retry_after))
        response.headers["Retry-After"] = str(seconds)
    return response
