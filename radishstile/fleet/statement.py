"""The content of a heartbeat reply: a host's state and what it knows.

Times are sent as ages in milliseconds at the time of the reply, never as
clock readings. Records are nested lists, which msgpack packs compactly.
"""

from radishstile.fleet.state import EndEvidence, MemberState
from radishstile.member import Member

MS_PER_S = 1000


def to_age_ms(at: float | None, now: float) -> int | None:
    """Return the age at `now` of moment `at`, in ms, rounded up."""
    if at is None:
        return None
    return max(0, -int((at - now) * MS_PER_S // 1))


def pick_page(items: list, limit: int, turn: int) -> list:
    """Return at most `limit` of `items`, a different part in each turn."""
    if len(items) <= limit:
        return items
    start = turn * limit % len(items)
    return (items[start:] + items[:start])[:limit]


def _to_row(item, kinds: tuple) -> list:
    values = [getattr(item, name) for name in item.__slots__]
    return [
        value.value if isinstance(value, kinds) else value for value in values
    ]


class ZoneReport:
    """Access of one zone to the store, as passed on by any host.

    Ages are in ms: `confirmed_age_ms` since the start of the newest call
    that was answered with `version`, `reached_age_ms` since its answer,
    `failed_age_ms` since the newest attempt that failed.
    """

    __slots__ = (
        "zone",
        "version",
        "confirmed_age_ms",
        "reached_age_ms",
        "failed_age_ms",
    )

    def __init__(
        self,
        zone: str,
        version: int,
        confirmed_age_ms: int | None,
        reached_age_ms: int | None,
        failed_age_ms: int | None,
    ):
        self.zone = zone
        self.version = version
        self.confirmed_age_ms = confirmed_age_ms
        self.reached_age_ms = reached_age_ms
        self.failed_age_ms = failed_age_ms


class Remark:
    """A host's state as seen by members that send it heartbeats."""

    __slots__ = ("host", "incarnation", "state", "age_ms")

    def __init__(
        self, host: str, incarnation: int, state: MemberState, age_ms: int
    ):
        self.host = host
        self.incarnation = incarnation
        self.state = MemberState(state)
        self.age_ms = age_ms


class EndNotice:
    """Evidence of an incarnation's end, passed on in heartbeat replies.

    `is_closed` is as in `EndRecord`.
    """

    __slots__ = ("host", "incarnation", "evidence", "age_ms", "is_closed")

    def __init__(
        self,
        host: str,
        incarnation: int,
        evidence: EndEvidence,
        age_ms: int,
        is_closed: bool = False,
    ):
        self.host = host
        self.incarnation = incarnation
        self.evidence = EndEvidence(evidence)
        self.age_ms = age_ms
        self.is_closed = is_closed


class Release:
    """An owner's announcement that it has released a resource."""

    __slots__ = ("host", "incarnation", "resource", "epoch")

    def __init__(self, host: str, incarnation: int, resource: str, epoch: int):
        self.host = host
        self.incarnation = incarnation
        self.resource = resource
        self.epoch = epoch

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Release) and self.key == other.key

    def __hash__(self) -> int:
        return hash(self.key)

    @property
    def key(self) -> tuple[str, int, str, int]:
        """Return what identifies the release."""
        return self.host, self.incarnation, self.resource, self.epoch


class Statement:
    """A host's heartbeat reply; see the module for its times.

    `configuration_version` is the one that the host uses, `known_version` the
    newest that it knows of. `store_age_ms` is the time since the store last
    answered this host itself, None if never; `store_failed_age_ms` since its
    last own call, None unless that failed. `hints` maps a resource to free
    units.
    """

    __slots__ = (
        "member",
        "state",
        "configuration_version",
        "known_version",
        "roster_version",
        "store_age_ms",
        "store_failed_age_ms",
        "zones",
        "hints",
        "provisional",
        "remarks",
        "ended",
        "releases",
    )

    def __init__(
        self,
        member: Member,
        state: MemberState,
        configuration_version: int,
        known_version: int,
        roster_version: int,
        store_age_ms: int | None = None,
        store_failed_age_ms: int | None = None,
        zones: list[ZoneReport] = (),
        hints: dict[str, int] | None = None,
        provisional: list[Member] = (),
        remarks: list[Remark] = (),
        ended: list[EndNotice] = (),
        releases: list[Release] = (),
    ):
        self.member = member
        self.state = state
        self.configuration_version = configuration_version
        self.known_version = known_version
        self.roster_version = roster_version
        self.store_age_ms = store_age_ms
        self.store_failed_age_ms = store_failed_age_ms
        self.zones = list(zones)
        self.hints = dict(hints or {})
        self.provisional = list(provisional)
        self.remarks = list(remarks)
        self.ended = list(ended)
        self.releases = list(releases)

    @property
    def is_store_failing(self) -> bool:
        """Return whether the host's last call of the store failed."""
        return self.store_failed_age_ms is not None

    def to_record(self) -> list:
        """Return the statement as nested lists of plain values."""
        return [
            _to_row(self.member, ()),
            self.state.value,
            self.configuration_version,
            self.known_version,
            self.roster_version,
            self.store_age_ms,
            self.store_failed_age_ms,
            [_to_row(report, ()) for report in self.zones],
            self.hints,
            [_to_row(member, ()) for member in self.provisional],
            [_to_row(remark, (MemberState,)) for remark in self.remarks],
            [_to_row(notice, (EndEvidence,)) for notice in self.ended],
            [_to_row(release, ()) for release in self.releases],
        ]

    @classmethod
    def from_record(cls, record: list) -> "Statement":
        """Return the statement that a record of `to_record` describes.

        Raises `TypeError` or `ValueError` where the record is malformed.
        """
        head = record[:7]
        zones, hints, provisional, remarks, ended, releases = record[7:]
        return cls(
            Member(*head[0]),
            MemberState(head[1]),
            *head[2:],
            [ZoneReport(*row) for row in zones],
            hints,
            [Member(*row) for row in provisional],
            [Remark(*row) for row in remarks],
            [EndNotice(*row) for row in ended],
            [Release(*row) for row in releases],
        )
