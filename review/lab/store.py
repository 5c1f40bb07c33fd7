"""The platform's store: objects by kind and name, with watches."""

import asyncio
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from lab.messages import Message, encode_message, read_message

PAGE_SIZE = 500
PAGE_BYTES = 1_000_000
HISTORY_S = 20.0


class Event:
    """A change of an object."""

    def __init__(self, kind: str, revision: int, item: dict, removed: bool):
        self.kind = kind
        self.revision = revision
        self.item = item
        self.removed = removed
        self.at = time.monotonic()


class Store:
    """Serves `/v1/objects`; changes are acknowledged when they return."""

    def __init__(self):
        self.revision = 1
        self._kinds: dict[str, dict[str, dict]] = {}
        self._events: list[Event] = []
        self._dropped_revision = 0
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen on a free loopback port and return it."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=4 << 20
        )
        return self._server.sockets[0].getsockname()[1]

    def find(self, kind: str, name: str) -> dict | None:
        """Return an object."""
        return self._kinds.get(kind, {}).get(name)

    def put(self, kind: str, name: str, spec, status=None) -> float:
        """Write an object; return the time of the acknowledgement."""
        found = self.find(kind, name)
        if found and (found["spec"], found["status"]) == (spec, status):
            return time.monotonic()
        self.revision += 1
        created = found["metadata"]["created_rev"] if found else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self._kinds.setdefault(kind, {})[name] = item
        self._add(Event(kind, self.revision, item, False))
        return time.monotonic()

    def remove(self, kind: str, name: str) -> float:
        """Remove an object; return the time of the acknowledgement."""
        item = self._kinds[kind].pop(name)
        self.revision += 1
        self._add(Event(kind, self.revision, item, True))
        return time.monotonic()

    def _add(self, event: Event) -> None:
        self._events.append(event)
        while self._events[0].at < event.at - HISTORY_S:
            self._dropped_revision = self._events.pop(0).revision
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                status, record = await self._answer(request)
                body = json.dumps(record).encode()
                writer.write(
                    encode_message(
                        f"HTTP/1.1 {status} Status",
                        {"Content-Type": "application/json"},
                        body,
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.split("/")[3:]]
        if request.method != "GET":
            body = json.loads(request.body or b"{}")
            return self._write(request.method, parts, query, body)
        if len(parts) > 1:
            found = self.find(parts[0], parts[1])
            return (200, found) if found else (404, {})
        if "watch" in query:
            return await self._watch(parts[0], query)
        return self._list(parts[0], query.get("after", ""))

    def _list(self, kind: str, after: str) -> tuple[int, dict]:
        stored = self._kinds.get(kind, {})
        names = sorted(name for name in stored if name > after)
        page: list[dict] = []
        size = 0
        for name in names[:PAGE_SIZE]:
            page.append(stored[name])
            size += len(json.dumps(stored[name]))
            if size >= PAGE_BYTES:
                break
        record = {
            "items": page,
            "more": len(names) > len(page),
            "store_revision": self.revision,
        }
        return 200, record

    async def _watch(self, kind: str, query: dict) -> tuple[int, dict]:
        after = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if after < self._dropped_revision:
                return 410, {}
            events = [
                {"object": event.item, "removed": event.removed}
                for event in self._events
                if event.kind == kind and event.revision > after
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                break
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
        return 200, {"events": events, "store_revision": self.revision}

    def _write(
        self, method: str, parts: list[str], query: dict, body: dict
    ) -> tuple[int, dict]:
        metadata = body.get("metadata", {})
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else metadata["name"]
        found = self.find(kind, name)
        if method == "POST":
            if found:
                return 409, found
            self.put(kind, name, body.get("spec"))
            return 200, self.find(kind, name)
        if not found:
            return 404, {}
        expected = metadata.get("revision") or query.get("revision")
        if expected and int(expected) != found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.remove(kind, name)
            return 200, found
        if parts[2:] == ["status"]:
            self.put(kind, name, found["spec"], body.get("status"))
        else:
            self.put(kind, name, body.get("spec"), found["status"])
        return 200, self.find(kind, name)
