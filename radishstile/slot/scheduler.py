"""Schedules claims for upstream slots.

One scheduler counts the slots for all hosts that follow its leader, so that
requests never queue inside an upstream. It does no I/O: each call takes the
event loop's time in seconds and returns the decisions to deliver.
"""

from collections import Counter

from radishstile.catalog.catalog import Service
from radishstile.slot.arrival_policy import ArrivalPolicy
from radishstile.slot.claim import Claim, Decision, Ending, Grant
from radishstile.slot.division import divide_slots
from radishstile.slot.estimate import HoldTimeEstimate
from radishstile.slot.grants import GrantCounts, count_slots
from radishstile.slot.lending import TARGET_UTILIZATION
from radishstile.slot.load_report import LoadReport
from radishstile.slot.loan_book import LoanBook
from radishstile.slot.ranking import Ranking
from radishstile.slot.record import CacheRecord, SchedulerRecord
from radishstile.slot.returns import make_planner
from radishstile.slot.service import (
    DEMAND_SAMPLE_INTERVAL_S,
    MAX_DEMAND_SAMPLE_S,
    ServiceState,
)
from radishstile.slot.settings import SlotSettings
from radishstile.slot.share_policy import SharePolicy
from radishstile.slot.share_report import ShareReport
from radishstile.slot.upstream import Run, UpstreamState
from radishstile.upstream.registration import Registration


class SlotScheduler:
    """Grants slots, at most `share` of each upstream's in `region`.

    `share` is the fraction of the region's hosts that claim here, and `host`
    the one that schedules. Schedulers whose shares sum to at most one grant
    about as many slots together as there are: see `divide_slots`. Of upstreams
    in other regions, only borrowed slots are granted.
    """

    __slots__ = (
        "region",
        "share",
        "grants",
        "returns",
        "loans",
        "_host",
        "_settings",
        "_services",
        "_policies",
        "_weights",
        "_upstreams",
        "_upstreams_by_claim",
        "_restored",
        "_sampled_at",
    )

    def __init__(self, region: str, host: str, settings: SlotSettings):
        self.region = region
        self.share = 0.0
        self.grants = GrantCounts()
        self.returns = make_planner(settings)
        self._host = host
        self._settings = settings
        self._sampled_at = 0.0
        self._services: dict[str, ServiceState] = {}
        self.loans = LoanBook(region, self._services)
        # The decisions on the claims of each service.
        self._policies: dict[str, ArrivalPolicy | SharePolicy] = {}
        self._weights: dict[str, float] = {}
        self._upstreams: dict[str, UpstreamState] = {}
        # The upstream whose slot each running claim occupies, by claim id.
        self._upstreams_by_claim: dict[str, UpstreamState] = {}
        # Restored caches whose upstreams are not known yet, by incarnation.
        self._restored: dict[tuple[str, int], CacheRecord] = {}

    def replace_upstreams(
        self,
        registrations: list[Registration],
        services: dict[str, Service],
        now: float,
    ) -> list[Decision]:
        """Replace the set of upstreams that may get work."""
        kept: dict[str, UpstreamState] = {}
        is_first = not self._upstreams
        for registration in registrations:
            upstream = self._upstreams.get(registration.upstream_id)
            if upstream is None or (
                upstream.registration.incarnation != registration.incarnation
            ):
                service = services.get(registration.service)
                rate = service.warmup_per_s if service else 0.0
                upstream = UpstreamState(
                    registration, self._settings, rate, now
                )
                upstream.is_untried = not is_first and self._is_local(upstream)
            else:
                upstream.update(registration)
            kept[registration.upstream_id] = upstream
        self.loans.replace_upstreams(kept)
        self._upstreams = kept
        self._apply_restored()
        return self.set_share(self.share, now)

    def set_share(self, share: float, now: float) -> list[Decision]:
        """Change the share of the region's slots to grant."""
        self.share = share
        self._divide_slots()
        self._update_rankings()
        return self.tick(now)

    def make_record(self) -> SchedulerRecord:
        """Return what this scheduler has learned."""
        caches = [
            CacheRecord(*u.registration.incarnation, u.list_cached())
            for u in self._upstreams.values()
        ]
        demands = {
            name: state.demand
            for name, state in self._services.items()
            if state.demand is not None
        }
        return SchedulerRecord(demands, [c for c in caches if c.object_keys])

    def restore(self, record: SchedulerRecord) -> None:
        """Apply what an earlier scheduler of the region has learned.

        Caches of incarnations that have ended are left out.
        """
        for name, demand in record.demands.items():
            self._get_service(name).restore_demand(demand)
        self._restored = {cache.incarnation: cache for cache in record.caches}
        self._apply_restored()

    def sample_demand(self, needs: dict[str, float], now: float) -> None:
        """Sample each service's demand if the sample interval has passed.

        `needs` are the slots planned for the region, by service; they are
        the initial estimate of demand. A host that has not led just before
        begins its first sample.
        """
        elapsed_s = now - self._sampled_at
        if elapsed_s < DEMAND_SAMPLE_INTERVAL_S:
            return
        self._sampled_at = now
        if elapsed_s > MAX_DEMAND_SAMPLE_S:
            for state in self._services.values():
                state.drop_sample()
            return
        for name, state in self._services.items():
            prior = needs.get(name, 0.0) * TARGET_UTILIZATION
            state.sample_demand(elapsed_s, prior)

    def count_slots(self, now: float) -> dict[str, dict[str, list[int]]]:
        """Return the total and the usable slots by service and region."""
        return count_slots(self._upstreams.values(), now)

    def record_rate(
        self, upstream_id: str, per_s: float, sent_at: float, now: float
    ) -> bool:
        """Apply the rate limit named in the answer to a request.

        Returns whether it changed the limit of a known upstream.
        """
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return False
        return upstream.rate.record(per_s, sent_at, now)

    def record_load(
        self, upstream_id: str, report: LoadReport, now: float
    ) -> bool:
        """Apply the load that an upstream reported; return if it was used."""
        upstream = self._upstreams.get(upstream_id)
        return upstream is not None and upstream.record_load(report, now)

    def list_loads(self) -> dict[str, LoadReport]:
        """Return the last report with a pace of each upstream, by id."""
        return {
            u.upstream_id: u.pace.latest
            for u in self._upstreams.values()
            if u.pace.is_reported
        }

    def list_rates(self, since: float, region: str = "") -> dict[str, float]:
        """Return the rate limits heard of since a time, by upstream.

        Those of upstreams that have named one before and name none now are
        infinite. With a region, only borrowed upstreams there are listed.
        """
        return {
            u.upstream_id: u.rate.per_s
            for u in self._upstreams.values()
            if u.rate.was_named(since)
            and (not region or u.borrowed and u.registration.region == region)
        }

    def end_loan(self, region: str, now: float) -> list[Decision]:
        """Take back all slots that a region has borrowed."""
        self.loans.end(region)
        return self.set_share(self.share, now)

    def borrow(
        self, region: str, slots: dict[str, int], now: float
    ) -> list[Decision]:
        """Use the slots borrowed from a region, given by upstream."""
        self.loans.borrow(region, slots)
        return self.set_share(self.share, now)

    def submit(self, claim: Claim, objective_s: float, now: float) -> Decision:
        """Grant, queue or deny a claim.

        `objective_s` is the latency objective of the claim's route.
        """
        state = self._get_service(claim.service)
        policy = self._policies[claim.service]
        if not state.ranking.upstreams:
            return policy.deny_without_upstreams(claim, now)
        estimate = state.estimates.get(claim.route)
        if estimate is None:
            estimate = HoldTimeEstimate(objective_s, self._settings.smoothing)
            state.estimates[claim.route] = estimate
        return policy.decide(claim, estimate, now)

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set the relative weights of the workspaces that share the slots."""
        self._weights = weights
        for policy in self._policies.values():
            policy.set_weights(weights)

    def report_shares(self) -> ShareReport:
        """Return the work and the refusals by workspace and priority."""
        report = ShareReport()
        for policy in self._policies.values():
            report.add(policy.report())
        return report

    def count_choices(self) -> Counter[str]:
        """Return the choices among upstreams that report a pace, by reason."""
        return sum((s.choices for s in self._services.values()), Counter())

    def finish(
        self, claim_id: str, ending: Ending, held_s: float, now: float
    ) -> list[Decision]:
        """Free a claim's slot and return the grants that follow from it."""
        upstream = self._upstreams_by_claim.pop(claim_id, None)
        if upstream is None:
            return []
        run = upstream.finish(claim_id, ending, held_s, now)
        state = self._get_service(run.claim.service)
        if ending is Ending.SERVED:
            state.estimates[run.claim.route].record(
                run.is_warm, run.normalize(held_s)
            )
        if self._upstreams.get(upstream.upstream_id) is not upstream:
            # It has left or restarted: its slot is free for nobody.
            return []
        return self._policies[run.claim.service].fill(upstream, now)

    def cancel(self, claim_id: str, service: str) -> None:
        """Remove a claim from the queue if it is still waiting."""
        policy = self._policies.get(service)
        if policy is not None:
            policy.cancel(claim_id)

    def tick(self, now: float) -> list[Decision]:
        """Deny waiting claims that are too late and fill free slots."""
        decisions: list[Decision] = []
        for policy in self._policies.values():
            decisions += policy.check(now)
        return decisions

    def count_waiting(self) -> int:
        """Return the number of waiting claims."""
        return sum(len(policy) for policy in self._policies.values())

    def count_running(self) -> int:
        """Return the number of occupied slots."""
        return len(self._upstreams_by_claim)

    def list_running(self) -> set[str]:
        """Return the ids of the claims that occupy slots."""
        return set(self._upstreams_by_claim)

    def _get_service(self, name: str) -> ServiceState:
        state = self._services.get(name)
        if state is None:
            state = self._services[name] = ServiceState()
            policy = self._make_policy(state)
            policy.set_weights(self._weights)
            self._policies[name] = policy
        return state

    def _make_policy(self, state: ServiceState) -> ArrivalPolicy | SharePolicy:
        if not self._settings.is_shared:
            return ArrivalPolicy(state, self._settings, self._start)
        return SharePolicy(state, self._settings, self._start, self.returns)

    def _is_local(self, upstream: UpstreamState) -> bool:
        return upstream.registration.region == self.region

    def _apply_restored(self) -> None:
        for upstream in self._upstreams.values():
            incarnation = upstream.registration.incarnation
            cache = self._restored.pop(incarnation, None)
            if cache is not None:
                upstream.restore_cached(cache.object_keys)

    def _divide_slots(self) -> None:
        """Set each upstream's capacity."""
        local = [
            upstream.registration
            for upstream in self._upstreams.values()
            if self._is_local(upstream)
        ]
        slots = divide_slots(local, self.share, self._host)
        for upstream in self._upstreams.values():
            upstream.allotted = slots.get(upstream.upstream_id, 0)
            upstream.resize()

    def _update_rankings(self) -> None:
        by_service: dict[str, list[UpstreamState]] = {}
        for upstream in self._upstreams.values():
            if not self._is_local(upstream) and not upstream.borrowed:
                continue
            name = upstream.registration.service
            by_service.setdefault(name, []).append(upstream)
        for name in by_service.keys() | self._services.keys():
            state = self._get_service(name)
            upstreams = by_service.get(name, [])
            if not state.ranking.matches(upstreams):
                state.ranking = Ranking(upstreams, self.region)

    def _start(
        self,
        state: ServiceState,
        upstream: UpstreamState,
        claim: Claim,
        now: float,
    ) -> Grant:
        is_warm = bool(claim.object_key) and upstream.has_cached(
            claim.object_key
        )
        pace = upstream.measure_pace(now)
        expected_s = state.estimates[claim.route].get_expected_s(is_warm)
        expected_s *= pace
        upstream.start(Run(claim, now, expected_s, is_warm, pace))
        self._upstreams_by_claim[claim.claim_id] = upstream
        self.grants.record(claim.service, upstream.registration.region)
        return Grant(claim.claim_id, upstream.upstream_id, is_warm, expected_s)
