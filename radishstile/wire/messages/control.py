"""Messages of the streams themselves: handshake, credit and closing."""

from radishstile.wire.messages.base import Message


class Hello(Message):
    """Opens a handshake with the sender's protocol, member and nonce.

    `credit_parts` is how many unread parts the sender holds an exchange.
    """

    __slots__ = ("protocol", "member", "nonce", "credit_parts")

    protocol: int
    member: dict
    nonce: bytes
    credit_parts: int


class Proof(Message):
    """Shows that the sender knows the fleet's secret, as an HMAC."""

    __slots__ = ("digest",)

    digest: bytes


class Credit(Message):
    """Lets the receiver send `parts` more parts on an exchange."""

    __slots__ = ("parts",)

    parts: int


class CloseExchange(Message):
    """Ends an exchange; the receiver cancels its handler."""

    __slots__ = ()


class Acknowledged(Message):
    """Answers a message that asks for nothing else."""

    __slots__ = ()


class Failed(Message):
    """Answers a message whose handler failed; the effect is unknown."""

    __slots__ = ("error",)

    error: str


class Refused(Message):
    """Answers a request that is refused.

    `reason` and `outcome` are values of `Reason` and `Outcome`,
    `retry_after` is in seconds.
    """

    __slots__ = ("request_id", "reason", "outcome", "retry_after", "detail")

    request_id: str
    reason: str
    outcome: str
    retry_after: float | None
    detail: str
