"""Wakes tasks that wait for a change of a key's record."""

import asyncio


class KeyEvents:
    """Holds an event for each key that a task waits for."""

    __slots__ = ("_events",)

    def __init__(self):
        self._events: dict[bytes, asyncio.Event] = {}

    async def wait(self, key: bytes) -> None:
        """Wait until the key's record changes."""
        await self._events.setdefault(key, asyncio.Event()).wait()

    def notify(self, key: bytes) -> None:
        """Wake all tasks that wait for `key`."""
        event = self._events.pop(key, None)
        if event is not None:
            event.set()

    def notify_all(self) -> None:
        """Wake all waiting tasks."""
        for key in list(self._events):
            self.notify(key)
