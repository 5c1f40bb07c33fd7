"""A request on its way from an entry host to an upstream."""

import math

from radishstile.wire.messages.run import RunRequest

_MS_PER_S = 1000


class ForwardedRequest:
    """What a slots owner needs to run a request; `deadline` is loop time.

    `headers` and `body` are sent to the upstream as they are, without the
    caller's key. `excluded` names upstreams that must not be tried again, and
    `fingerprint` is the digest of workspace, method, target and body.
    """

    __slots__ = (
        "request_id",
        "workspace",
        "weight",
        "route",
        "group",
        "zone",
        "method",
        "target",
        "headers",
        "body",
        "deadline",
        "is_idempotent",
        "traceparent",
        "excluded",
        "fingerprint",
    )

    def __init__(
        self,
        request_id: str,
        workspace: str,
        weight: float,
        route: str,
        group: str,
        zone: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        deadline: float,
        is_idempotent: bool,
        traceparent: str,
        excluded: frozenset[str],
        fingerprint: bytes,
    ):
        self.request_id = request_id
        self.workspace = workspace
        self.weight = weight
        self.route = route
        self.group = group
        self.zone = zone
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.deadline = deadline
        self.is_idempotent = is_idempotent
        self.traceparent = traceparent
        self.excluded = excluded
        self.fingerprint = fingerprint

    def to_message(self, now: float) -> RunRequest:
        """Return the message for the request, without its body."""
        left_s = max(0.0, self.deadline - now)
        return RunRequest(
            request_id=self.request_id,
            workspace=self.workspace,
            weight=self.weight,
            route=self.route,
            group=self.group,
            zone=self.zone,
            method=self.method,
            path=self.target,
            headers=[list(pair) for pair in self.headers],
            deadline_ms=math.floor(left_s * _MS_PER_S),
            is_idempotent=self.is_idempotent,
            traceparent=self.traceparent,
            excluded=sorted(self.excluded),
            fingerprint=self.fingerprint,
        )

    @classmethod
    def from_message(
        cls, message: RunRequest, body: bytes, now: float
    ) -> "ForwardedRequest":
        """Return the request for a message and its body."""
        return cls(
            message.request_id,
            message.workspace,
            message.weight,
            message.route,
            message.group,
            message.zone,
            message.method,
            message.path,
            [(name, value) for name, value in message.headers],
            body,
            now + message.deadline_ms / _MS_PER_S,
            message.is_idempotent,
            message.traceparent,
            frozenset(message.excluded),
            message.fingerprint,
        )
