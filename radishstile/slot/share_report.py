"""Counts of work and of refusals by workspace and priority."""

from collections import Counter

from radishstile.slot.claim import Contention

# Workspaces that are listed by name; the others are added up.
LISTED_WORKSPACES = 10
# Name of the workspaces that are not listed.
OTHERS = "(others)"
# Workspaces counted by name; beyond that, the smallest half is added up.
MAX_COUNTED = 1024


class ShareReport:
    """Slot-seconds by workspace, and refusals by priority and contention.

    `granted_s` counts the expected slot-seconds of granted slots, and
    `waiting_s` those of the claims that wait.
    """

    __slots__ = ("granted_s", "waiting_s", "refused")

    def __init__(self):
        self.granted_s: Counter[str] = Counter()
        self.waiting_s: Counter[str] = Counter()
        self.refused: Counter[tuple[int, Contention]] = Counter()

    def record_grant(self, workspace: str, work_s: float) -> None:
        """Count a granted slot."""
        self.granted_s[workspace] += work_s
        if len(self.granted_s) > MAX_COUNTED:
            self.granted_s = list_largest(self.granted_s, MAX_COUNTED // 2)

    def add(self, other: "ShareReport") -> None:
        """Add the counts of another service."""
        self.granted_s.update(other.granted_s)
        self.waiting_s.update(other.waiting_s)
        self.refused.update(other.refused)


def list_largest(
    amounts: Counter[str], count: int = LISTED_WORKSPACES
) -> Counter[str]:
    """Return the largest amounts by name, and the rest together."""
    largest = Counter(dict(amounts.most_common(count)))
    rest = amounts.total() - largest.total()
    if len(amounts) > len(largest):
        largest[OTHERS] += rest
    return largest
