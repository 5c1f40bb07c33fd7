"""Selects an upstream of a service for one claim."""

from collections import Counter

from radishstile.slot.claim import Claim
from radishstile.slot.estimate import HoldTimeEstimate
from radishstile.slot.ranking import Ranking
from radishstile.slot.upstream import UpstreamState

# Expected finish times within this factor count as equal, so that the order of
# the ranking decides and objects stay where they are cached. An upstream whose
# pace is not known is expected to take 1.2 times as long as a fast one, and a
# slow one 2.5 times.
EQUAL_FINISH_RATIO = 1.3

# Reasons of a choice among upstreams that report their pace.
FIRST = "first"
FASTER = "faster"
SLOW_WARM = "slow-warm"
FAST_COLD = "fast-cold"
COPY = "copy"

# Share of the slots of the upstreams with an object that its runs hold when
# the object is in such demand that one more copy pays: the cold run takes
# three times the slot time, but the claims after it find more warm slots.
HOT_SHARE = 0.5


class UpstreamSelector:
    """The upstreams that accept a claim, the best for its object first.

    Where upstreams report their pace, those that are expected to finish the
    claim later than others are passed over; `choices` counts why the chosen
    ones were chosen.

    Slow and failing upstreams are avoided, unless they are the majority: the
    fault then lies with the service, and avoiding them would only overload
    the others.
    """

    __slots__ = (
        "claim",
        "is_paced",
        "_now",
        "_choices",
        "_usable",
        "_avoided",
        "_warm",
    )

    def __init__(
        self,
        ranking: Ranking,
        claim: Claim,
        now: float,
        choices: Counter[str],
    ):
        self.claim = claim
        self._now = now
        self._choices = choices
        accepted = [
            upstream
            for upstream in ranking.order(claim.object_key, claim.zone)
            if upstream.capacity and upstream.accepts(claim)
        ]
        avoided = [u for u in accepted if u.is_avoided()]
        if 2 * len(avoided) > len(accepted):
            avoided = []
        self._avoided = avoided
        self._usable = [u for u in accepted if u not in avoided]
        self.is_paced = any(u.pace.is_reported for u in accepted)
        self._warm = []
        if claim.object_key:
            self._warm = [
                u for u in self._usable if u.has_cached(claim.object_key)
            ]

    @property
    def warm(self) -> list[UpstreamState]:
        """Return the usable upstreams that have cached the object."""
        return self._warm

    @property
    def has_warm(self) -> bool:
        """Return whether a usable upstream has cached the object."""
        return bool(self._warm)

    @property
    def usual_pace(self) -> float:
        """Return the long-run mean pace of the usable upstreams."""
        if not self.is_paced:
            return 1.0
        return sum(u.pace.mean for u in self._usable) / len(self._usable)

    def find_start(self, estimate: HoldTimeEstimate) -> UpstreamState | None:
        """Return an upstream on which a new claim should start, or None.

        Without a usable one that has cached the object it is any; otherwise
        it is such a one, unless all of these are so slow at the moment that a
        run on idle slots elsewhere finishes sooner.
        """
        if not self._warm:
            return self.find_any()
        warm, reason = self._pick_warm()
        if warm is None or not self.is_paced:
            return warm
        if warm.measure_pace(self._now) <= EQUAL_FINISH_RATIO:
            return self._count(warm, reason)
        cold, _ = self._pick(self._list_idle())
        if cold is None or self._is_about_as_fast(warm, cold, estimate):
            return self._count(warm, SLOW_WARM)
        return self._count(cold, FAST_COLD)

    def find_warm(self) -> UpstreamState | None:
        """Return the first upstream with a free slot and the cached object.

        An upstream that joined and had no run yet takes precedence.
        """
        return self._count(*self._pick_warm())

    def find_earliest_warm(
        self, estimate: HoldTimeEstimate
    ) -> UpstreamState | None:
        """Return the warm upstream with the shortest expected wait.

        Where paces are reported it is the one with the earliest finish.
        """
        if not self._warm:
            return None
        priority = self.claim.priority
        if not self.is_paced:
            return min(
                self._warm, key=lambda u: u.estimate_wait(priority, self._now)
            )
        return min(
            self._warm, key=lambda u: self._estimate_finish(u, estimate)
        )

    def find_any(self) -> UpstreamState | None:
        """Return an upstream with a free slot, or None.

        The order is: one due for a first run or a probe, the first with idle
        slots, the first with a free slot, and an avoided one. One that is slow
        at the moment comes after those with a free slot that are not.
        """
        return (
            self._find_probe_target()
            or self._find_fast_idle()
            or self._find_free(self._usable)
            or self._find_free(self._avoided)
        )

    def find_idle(self) -> UpstreamState | None:
        """Return the first upstream that keeps half of its slots free."""
        return self._find_free(self._list_idle())

    def find_copy(self) -> UpstreamState | None:
        """Return an upstream for one more copy of an object in demand.

        It is any with a free slot, if runs for the object hold `HOT_SHARE` of
        the slots of the upstreams that have cached it. Without reported paces
        there is none, and only idle slots are used for copies.
        """
        if not self.is_paced or not self._warm:
            return None
        held = sum(
            run.claim.object_key == self.claim.object_key
            for upstream in self._warm
            for run in upstream.runs.values()
        )
        slots = sum(upstream.capacity for upstream in self._warm)
        if held < HOT_SHARE * slots:
            return None
        key = self.claim.object_key
        chosen, _ = self._pick(
            [u for u in self._usable if not u.has_cached(key)]
        )
        return self._count(chosen, COPY)

    def _find_probe_target(self) -> UpstreamState | None:
        """Return an upstream that is new or may have recovered."""
        untried = [u for u in self._usable if u.is_untried]
        probed = [u for u in self._avoided if u.is_probe_due(self._now)]
        return self._find_free(untried + probed)

    def _find_fast_idle(self) -> UpstreamState | None:
        """Return an upstream with idle slots, unless all those are slow."""
        idle = self._list_idle()
        if not self.is_paced:
            return self._find_free(idle)
        fast = [u for u in self._list_fast(self._usable) if u.has_idle_slots()]
        if not fast:
            return None
        return self._count(fast[0], self._find_reason(fast[0], idle))

    def _find_free(
        self, upstreams: list[UpstreamState]
    ) -> UpstreamState | None:
        return self._count(*self._pick(upstreams))

    def _list_idle(self) -> list[UpstreamState]:
        return [u for u in self._usable if u.has_idle_slots()]

    def _pick_warm(self) -> tuple[UpstreamState | None, str]:
        untried = [u for u in self._usable if u.is_untried]
        picked = self._pick(untried)
        return picked if picked[0] else self._pick(self._warm)

    def _pick(
        self, upstreams: list[UpstreamState]
    ) -> tuple[UpstreamState | None, str]:
        """Return the first free one that is about the fastest, and why."""
        if self.is_paced:
            fast = self._list_fast(upstreams)
            if not fast:
                return None, FIRST
            return fast[0], self._find_reason(fast[0], upstreams)
        for upstream in upstreams:
            if upstream.has_free_slot(self._now):
                return upstream, FIRST
        return None, FIRST

    def _list_fast(
        self, upstreams: list[UpstreamState]
    ) -> list[UpstreamState]:
        """Return the free ones that are about as fast as the fastest."""
        free = [
            (upstream, upstream.measure_pace(self._now))
            for upstream in upstreams
            if upstream.has_free_slot(self._now)
        ]
        limit = min((pace for _, pace in free), default=0.0)
        limit *= EQUAL_FINISH_RATIO
        return [upstream for upstream, pace in free if pace <= limit]

    def _find_reason(
        self, chosen: UpstreamState, upstreams: list[UpstreamState]
    ) -> str:
        for upstream in upstreams:
            if upstream.has_free_slot(self._now):
                return FIRST if upstream is chosen else FASTER
        return FIRST

    def _is_about_as_fast(
        self,
        warm: UpstreamState,
        other: UpstreamState,
        estimate: HoldTimeEstimate,
    ) -> bool:
        """Return whether a run on a warm one finishes about as early."""
        is_warm = other.has_cached(self.claim.object_key)
        warm_s = estimate.warm_s * warm.measure_pace(self._now)
        other_s = estimate.get_expected_s(is_warm)
        other_s *= other.measure_pace(self._now)
        return warm_s <= EQUAL_FINISH_RATIO * other_s

    def _estimate_finish(
        self, warm: UpstreamState, estimate: HoldTimeEstimate
    ) -> float:
        """Return the seconds until a claim that waits there is finished."""
        wait_s = warm.estimate_wait(self.claim.priority, self._now)
        pace = warm.measure_pace(self._now + wait_s)
        return wait_s + estimate.warm_s * pace

    def _count(
        self, upstream: UpstreamState | None, reason: str
    ) -> UpstreamState | None:
        if upstream is not None and self.is_paced:
            self._choices[reason] += 1
        return upstream
