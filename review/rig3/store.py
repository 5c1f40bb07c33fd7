"""The platform's object store, with the drill of the users' letter 8.

In the drill the store is away for a moment and comes back from an older copy.
"""

import asyncio
import copy
import json
from contextlib import suppress
from urllib.parse import parse_qs, unquote, urlsplit

from rig3.http import READ_LIMIT_BYTES, Message, encode_answer, read_message

PAGE_SIZE = 500
ANSWER_DELAY_S = 0.004
_JSON = {"Content-Type": "application/json"}


class StoreCopy:
    """All that the store held at one moment."""

    __slots__ = ("revision", "kinds", "events")

    def __init__(self, revision: int, kinds: dict, events: list):
        self.revision = revision
        self.kinds = copy.deepcopy(kinds)
        self.events = list(events)


class Store:
    """Objects by kind and name, with one revision counter.

    `era` is sent in each answer and rises when the store comes back from a
    copy. `port` is kept over an absence. A machine may have a port of its own.
    """

    __slots__ = (
        "address",
        "port",
        "revision",
        "era",
        "silenced",
        "_kinds",
        "_events",
        "_changed",
        "_server",
        "_writers",
    )

    def __init__(self, address: str, port: int):
        self.address = address
        self.port = port
        self.revision = 100
        self.era = 1
        # Machines whose calls get no answer, nor later on their connections.
        self.silenced: set[str] = set()
        self._kinds: dict[str, dict[str, dict]] = {}
        # Kind, revision, record and whether it was removed.
        self._events: list[tuple[str, int, dict, bool]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen for calls."""
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port, limit=READ_LIMIT_BYTES
        )

    async def leave(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def listen(self, machine: str, port: int) -> None:
        """Listen on a port for one machine."""
        await asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, machine),
            self.address,
            port,
            limit=READ_LIMIT_BYTES,
        )

    # Direct access for the operator and the backends of a script.

    @property
    def is_away(self) -> bool:
        """Return whether calls get no answer."""
        return self._server is None or not self._server.is_serving()

    def copy(self) -> StoreCopy:
        """Return a copy of all objects."""
        return StoreCopy(self.revision, self._kinds, self._events)

    def restore(self, older: StoreCopy) -> None:
        """Go back to a copy; later revisions are given out again."""
        self.revision = older.revision
        self._kinds = copy.deepcopy(older.kinds)
        self._events = list(older.events)
        self.era += 1

    def find(self, kind: str, name: str) -> dict | None:
        """Return an object's record, if it exists."""
        return self._kinds.get(kind, {}).get(name)

    def put(self, kind: str, name: str, spec, status=None) -> int:
        """Write an object and return the store's revision."""
        known = self.find(kind, name)
        if known and (known["spec"], known["status"]) == (spec, status):
            return self.revision
        self.revision += 1
        created = known["metadata"]["created_rev"] if known else self.revision
        record = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": copy.deepcopy(spec),
            "status": copy.deepcopy(status),
        }
        self._kinds.setdefault(kind, {})[name] = record
        self._add_event(kind, record, False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        record = self._kinds[kind].pop(name)
        self.revision += 1
        self._add_event(kind, record, True)

    def _add_event(self, kind: str, record: dict, is_removed: bool) -> None:
        self._events.append((kind, self.revision, record, is_removed))
        self._changed.set()
        self._changed = asyncio.Event()

    # Calls.

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        machine: str = "",
    ) -> None:
        self._writers.add(writer)
        try:
            while request := await read_message(reader):
                await asyncio.sleep(ANSWER_DELAY_S)
                if machine in self.silenced:
                    await asyncio.Event().wait()
                status, result = await self._answer(request)
                if machine in self.silenced:
                    await asyncio.Event().wait()
                headers = {**_JSON, "Store-Era": str(self.era)}
                body = json.dumps(result).encode()
                writer.write(encode_answer(status, headers, body))
                await writer.drain()
        except ConnectionError:
            return
        finally:
            self._writers.discard(writer)
            with suppress(ConnectionError):
                writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        method, target = request.first[:2]
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        names = [unquote(part) for part in parts.path.split("/")[3:]]
        if method != "GET":
            body = json.loads(request.body or b"{}")
            return self._write(method, names, query, body)
        if len(names) > 1:
            record = self.find(*names[:2])
            return (200, record) if record else (404, {})
        if "watch" in query:
            return await self._watch(names[0], query)
        return 200, self._list(names[0], query.get("after", ""))

    def _list(self, kind: str, after: str) -> dict:
        held = self._kinds.get(kind, {})
        names = sorted(name for name in held if name > after)
        return {
            "items": [held[name] for name in names[:PAGE_SIZE]],
            "more": len(names) > PAGE_SIZE,
            "store_revision": self.revision,
        }

    async def _watch(self, kind: str, query: dict) -> tuple[int, dict]:
        after = int(query["watch"])
        if after > self.revision:
            return 410, {}
        with suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("wait_ms", 0)) / 1000):
                while not self._list_events(kind, after):
                    await self._changed.wait()
        events = self._list_events(kind, after)
        return 200, {"events": events, "store_revision": self.revision}

    def _list_events(self, kind: str, after: int) -> list[dict]:
        return [
            {"object": record, "removed": is_removed}
            for event_kind, revision, record, is_removed in self._events
            if event_kind == kind and revision > after
        ]

    def _write(
        self, method: str, names: list[str], query: dict, body: dict
    ) -> tuple[int, dict]:
        metadata = body.get("metadata", {})
        kind, name = names[0], (names[1:] or [metadata.get("name")])[0]
        known = self.find(kind, name)
        if method == "POST":
            if known:
                return 409, known
            self.put(kind, name, body.get("spec"))
            return 200, self.find(kind, name)
        if known is None:
            return 404, {}
        expected = metadata.get("revision") or query.get("revision")
        if expected and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        if names[2:] == ["status"]:
            self.put(kind, name, known["spec"], body.get("status"))
        else:
            self.put(kind, name, body.get("spec"), known["status"])
        return 200, self.find(kind, name)
