"""How the stand-in upstream responds to a request.

The query or `x-test-` headers of the request select the response.
"""

from collections.abc import Mapping

HEADER_PREFIX = "x-test-"


class ResponsePlan:
    """Answers after `work_s` seconds, or after the service time if None."""

    __slots__ = ("work_s", "status")

    def __init__(self, work_s: float | None = None, status: int = 200):
        self.work_s = work_s
        self.status = status


class StreamPlan(ResponsePlan):
    """Answers with a chunked body of `size` bytes."""

    __slots__ = ("size",)

    def __init__(self, work_s: float | None, status: int, size: int):
        super().__init__(work_s, status)
        self.size = size


class TruncatedPlan(StreamPlan):
    """Closes the connection after `cut` of `size` body bytes."""

    __slots__ = ("cut",)

    def __init__(self, work_s: float | None, status: int, size: int, cut: int):
        super().__init__(work_s, status, size)
        self.cut = cut


class SilentPlan(ResponsePlan):
    """Holds its slot and never answers."""

    __slots__ = ()


class CrashPlan(ResponsePlan):
    """Crashes the upstream after `work_s` seconds."""

    __slots__ = ()


def parse_plan(
    query: Mapping[str, str], headers: Mapping[str, str]
) -> ResponsePlan:
    """Return the plan that the query or the `x-test-` headers select."""

    def get(name: str) -> str | None:
        return query.get(name) or headers.get(HEADER_PREFIX + name)

    work_text = get("work_s")
    work_s = float(work_text) if work_text else None
    status = int(get("status") or 200)
    if get("crash"):
        return CrashPlan(work_s)
    if get("silent"):
        return SilentPlan(work_s)
    cut = int(get("cut") or 0)
    size = int(get("size") or 2 * cut)
    if cut:
        return TruncatedPlan(work_s, status, size, cut)
    if size:
        return StreamPlan(work_s, status, size)
    return ResponsePlan(work_s, status)
