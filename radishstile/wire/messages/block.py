"""Messages about the parts of the block table."""

from radishstile.wire.messages.base import Message


class BlockQuery(Message):
    """Asks a peer for a manifest or chunk by its digest."""

    __slots__ = ("digest",)

    digest: str


class BlockReply(Message):
    """Answers with the part's bytes, or none where it is not known."""

    __slots__ = ("body",)

    body: bytes
