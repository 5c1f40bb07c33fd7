"""Messages that distribute the manifest and chunks of the block table."""

from radishstile.wire.messages.base import Message


class BlockQuery(Message):
    """Asks a peer for a manifest or chunk by its digest."""

    __slots__ = ("digest",)

    digest: str


class BlockReply(Message):
    """Answers with the bytes of the block, empty if the peer lacks it."""

    __slots__ = ("body",)

    body: bytes
