"""Rate limits of workspaces, as far as one slot scheduler may use them."""

from radishstile.catalog.catalog import Workspace
from radishstile.workspace.bucket import TokenBucket

# Initial share of a new bucket's burst. The previous leader may just have
# spent the whole burst, so a new bucket does not start full.
INITIAL_LEVEL_SHARE = 0.1
# Usable share of a rate. The margin covers clock drift and tokens in transit
# between schedulers, so that together they never exceed the rate.
USABLE_SHARE = 0.98
# Share of the platform's allowance for distributed counting that is added to
# the bursts; the rest covers a change of the leader. Without it a small
# workspace's share of its burst would be one or two requests.
SLACK_SHARE = 0.5
# Tokens for the share of a limit that an instance gets in its first seconds,
# so that a fleet that has restarted as a whole serves at once. Per unit of
# share: a part of the burst, a part of the platform's allowance, and what the
# rate yields in the time that a restart takes at least.
START_PERIOD_S = 2.0
START_BURST_SHARE = 0.1
START_SLACK_SHARE = 0.25
RESTART_TIME_S = 0.5


class WorkspaceQuotas:
    """Keeps a token bucket for each workspace with a rate limit.

    The share of each limit that may be used here is set by `resize`; the
    shares of all instances sum to at most one. `slack` is the number of
    requests by which all instances together may exceed a limit in the
    platform's window.
    """

    __slots__ = (
        "_share",
        "_slack",
        "_start_slack",
        "_started_at",
        "_start_share",
        "_buckets",
        "_workspaces",
    )

    def __init__(self, slack: float = 0.0):
        self._share = 0.0
        self._slack = slack * SLACK_SHARE
        self._start_slack = slack * START_SLACK_SHARE
        # Time of the first call, in the caller's clock.
        self._started_at: float | None = None
        # The largest share so far in the first seconds.
        self._start_share = 0.0
        self._buckets: dict[str, TokenBucket] = {}
        self._workspaces: dict[str, Workspace] = {}

    def apply_workspaces(
        self, workspaces: dict[str, Workspace], now: float
    ) -> None:
        """Apply the limits of a new configuration."""
        self._workspaces = {
            name: workspace
            for name, workspace in workspaces.items()
            if workspace.rate_per_s > 0
        }
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if name in self._workspaces
        }
        self.resize(self._share, now)

    def resize(self, share: float, now: float) -> None:
        """Set the share of each limit that may be used here."""
        self._share = share
        gained = self._gain_start_share(share, now)
        for name, workspace in self._workspaces.items():
            rate = workspace.rate_per_s * share * USABLE_SHARE
            burst = (workspace.burst + self._slack) * share
            burst = max(1.0, burst) if share > 0 else 0.0
            bucket = self._buckets.get(name)
            if bucket is None:
                bucket = self._buckets[name] = TokenBucket(rate, burst, now)
                bucket.add(burst * INITIAL_LEVEL_SHARE)
            else:
                bucket.resize(rate, burst, now)
            bucket.add(gained * self._count_start_tokens(workspace))

    def _gain_start_share(self, share: float, now: float) -> float:
        """Return by how much the share exceeds all earlier ones.

        Returns 0 after the first seconds.
        """
        if self._started_at is None:
            self._started_at = now
        if now - self._started_at > START_PERIOD_S:
            return 0.0
        gained = max(0.0, share - self._start_share)
        self._start_share += gained
        return gained

    def _count_start_tokens(self, workspace: Workspace) -> float:
        """Return the tokens for a start with the whole limit."""
        return (
            workspace.burst * START_BURST_SHARE
            + self._start_slack
            + workspace.rate_per_s * RESTART_TIME_S
        )

    def take(self, name: str, now: float) -> float | None:
        """Spend one token; return None, or the seconds until one is free.

        Returns None too for a workspace without a limit.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return None
        bucket.refill(now)
        if bucket.level >= 1:
            bucket.take(1.0)
            return None
        return bucket.time_until_available(1.0, now)

    def refund(self, name: str) -> None:
        """Add back the token of a request that did not run."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.add(1.0)

    def lend(self, name: str, tokens: float, now: float) -> float:
        """Remove up to `tokens` for another instance; return how many.

        Half of the level stays for local callers.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return 0.0
        bucket.refill(now)
        lent = min(tokens, bucket.level / 2)
        bucket.take(lent)
        return lent

    def add_borrowed(self, name: str, tokens: float) -> None:
        """Add tokens that another instance has lent."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.add(tokens)

    def list_shortfalls(self, now: float) -> dict[str, float]:
        """Return the tokens that each workspace is short of half its cap."""
        shortfalls = {}
        for name, bucket in self._buckets.items():
            bucket.refill(now)
            missing = max(1.0, bucket.burst / 2) - bucket.level
            if missing > 0:
                shortfalls[name] = missing
        return shortfalls
