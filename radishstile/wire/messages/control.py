"""Messages of the protocol itself: handshake, credit, closing and errors."""

from radishstile.wire.messages.base import Message


class Hello(Message):
    """Opens a handshake with the sender's protocol, member and nonce.

    `credit_parts` is the number of parts that the sender buffers for each
    exchange.
    """

    __slots__ = ("protocol", "member", "nonce", "credit_parts")

    protocol: int
    member: dict
    nonce: bytes
    credit_parts: int


class Proof(Message):
    """Proves with an HMAC that the sender knows the fleet's secret."""

    __slots__ = ("digest",)

    digest: bytes


class Credit(Message):
    """Allows the receiver to send `parts` more parts on an exchange."""

    __slots__ = ("parts",)

    parts: int


class CloseExchange(Message):
    """Closes an exchange; the receiver cancels its handler."""

    __slots__ = ()


class KeepAlive(Message):
    """Shows that the sender can be heard, and needs no reply."""

    __slots__ = ()


class Acknowledged(Message):
    """Answers a message that needs no other reply."""

    __slots__ = ()


class Failed(Message):
    """Answers a message whose handler failed, possibly after an effect."""

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
