"""States of a member and evidence that an incarnation has ended."""

from enum import Enum

from transitions import Machine


class MemberState(Enum):
    """State of one incarnation as this host knows it."""

    STARTING = 0
    LIVE = 1
    SUSPECTED = 2
    LEAVING = 3
    GONE = 4


class EndEvidence(Enum):
    """Final evidence that an incarnation has ended.

    RELEASED: its own statement on exit. REPLACED: a newer incarnation of its
    host. DELISTED: the platform's list shows it gone. REFUSED: the kernel
    refused a connection to its peer address. DROPPED: a later roster omits
    it, so the planner had evidence.
    """

    RELEASED = 0
    REPLACED = 1
    DELISTED = 2
    REFUSED = 3
    DROPPED = 4


# A leaving member that stops answering stays LEAVING: either state excludes
# it from new work, and only evidence ends it.
_TRANSITIONS = [
    [
        "mark_live",
        [MemberState.STARTING, MemberState.SUSPECTED],
        MemberState.LIVE,
    ],
    [
        "mark_suspected",
        [MemberState.STARTING, MemberState.LIVE],
        MemberState.SUSPECTED,
    ],
    [
        "mark_leaving",
        [MemberState.STARTING, MemberState.LIVE, MemberState.SUSPECTED],
        MemberState.LEAVING,
    ],
    ["mark_gone", "*", MemberState.GONE],
]


def build_machine() -> Machine:
    """Return the state machine shared by all memberships of a fleet."""
    return Machine(
        model=None,
        states=MemberState,
        transitions=_TRANSITIONS,
        initial=MemberState.STARTING,
        auto_transitions=False,
        ignore_invalid_triggers=True,
    )


class MachineReport:
    """State of one incarnation in the platform's list, which lags."""

    __slots__ = ("host", "incarnation", "is_gone")

    def __init__(self, host: str, incarnation: int, is_gone: bool):
        self.host = host
        self.incarnation = incarnation
        self.is_gone = is_gone
