"""Notifications that a connection may have lost as it went silent."""

from collections import deque

from radishstile.wire.messages.base import Message

# How long notifications are kept, in seconds: until a silent connection has
# been noticed and replaced.
KEPT_S = 3.0


class RecentMessages:
    """The notifications of the last seconds, oldest first.

    Times are of the event loop's clock, in seconds.
    """

    __slots__ = ("_messages",)

    def __init__(self):
        self._messages: deque[tuple[float, Message]] = deque()

    def add(self, message: Message, now: float) -> None:
        """Add a notification that is being sent."""
        self._messages.append((now, message))

    def list_recent(self, now: float) -> list[Message]:
        """Return the notifications that are to be sent again."""
        while self._messages and now - self._messages[0][0] > KEPT_S:
            self._messages.popleft()
        return [message for _, message in self._messages]
