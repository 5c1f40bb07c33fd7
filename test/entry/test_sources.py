"""Tests of lists that hosts read from each other.

An entry of another writer, or all entries together, may exceed a frame.
The host that was asked could not answer, and the one that had started never
served.
"""

from types import SimpleNamespace

from radishstile.entry.handlers import MessageHandler
from radishstile.entry.sources import PeerSource
from radishstile.platform.mirror import Mirror
from radishstile.platform.stored_objects import Change
from test.platform._common import make_changes, make_listing, make_stored
from test.wire._common import PeerTestCase

KIND = "servers"


def make_object(name, spec, revision=1):
    return make_stored(name, revision, spec)


class LongListTest(PeerTestCase):
    async def asyncSetUp(self):
        self.mirror = Mirror(KIND)
        replica = SimpleNamespace(find_mirror=lambda kind: self.mirror)
        handler = MessageHandler(None, None, None, replica, None)
        client, _ = await self.connect(handler)
        peer = SimpleNamespace(client=client, member=client.peer)
        self.source = PeerSource(peer)

    async def test_list_longer_than_a_frame_arrives_whole(self):
        # Guards against a host that can't be told all entries in one frame.
        objects = [
            make_object(f"i-{n}", {"note": "x" * 60_000}) for n in range(40)
        ]
        self.mirror.replace(make_listing(objects, 7))
        listing = await self.source.list_kind(KIND)
        self.assertEqual(listing.revision, 7)
        self.assertEqual(
            [stored.name for stored in listing.objects],
            [stored.name for stored in objects],
        )

    async def test_entry_longer_than_a_frame_does_not_hide_others(self):
        # Guards against hosts that don't serve after a restart as an entry of
        # another writer doesn't fit a frame.
        odd = make_object("odd", {"numbers": [0.1] * 160_000})
        self.mirror.replace(
            make_listing([odd, make_object("i-1", {"a": 1})], 7)
        )
        listing = await self.source.list_kind(KIND)
        self.assertEqual(
            [(stored.name, stored.spec) for stored in listing.objects],
            [("odd", None), ("i-1", {"a": 1})],
        )

    async def test_long_change_of_an_entry_does_not_hide_others(self):
        # Guards against hosts that learn of no change behind a long one.
        self.mirror.replace(make_listing([make_object("odd", {"a": 1})], 7))
        long = make_object("odd", {"a": [0.1] * 160_000}, 8)
        new = make_object("i-1", {"a": 1}, 9)
        changes = [Change(long, False), Change(new, False)]
        self.mirror.apply(make_changes(changes, 9))
        received = await self.source.watch(KIND, 7, 1.0)
        self.assertEqual(received.revision, 9)
        self.assertEqual(
            [change.object.name for change in received.changes], ["odd", "i-1"]
        )
