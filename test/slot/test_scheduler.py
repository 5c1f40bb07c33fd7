"""Tests of the slot scheduler: limits, queue order, placement and health."""

import unittest

from radishstile.outcome import Reason
from radishstile.slot.claim import Denial, Ending, Grant, Queued
from test.slot._common import (
    NOW,
    make_claim,
    make_registration,
    make_scheduler,
    record_hold_times,
    submit,
)


class SlotLimitTest(unittest.TestCase):
    def test_grants_no_more_claims_than_slots(self):
        scheduler = make_scheduler(make_registration("u1", slots=2))
        record_hold_times(scheduler, 0.1)
        decisions = [submit(scheduler, make_claim(str(n))) for n in range(3)]
        kinds = [type(decision) for decision in decisions]
        self.assertEqual(kinds, [Grant, Grant, Queued])

    def test_grants_only_its_share_of_the_slots(self):
        scheduler = make_scheduler(make_registration("u1", slots=6), share=0.5)
        granted = [
            n
            for n in range(6)
            if type(submit(scheduler, make_claim(str(n)))) is Grant
        ]
        self.assertEqual(len(granted), 3)

    def test_freed_slot_goes_to_the_most_urgent_claim(self):
        scheduler = make_scheduler(make_registration("u1", slots=1))
        record_hold_times(scheduler, 0.1)
        submit(scheduler, make_claim("running"))
        submit(scheduler, make_claim("late", priority=2, now=NOW + 0.01))
        submit(scheduler, make_claim("urgent", priority=1, now=NOW + 0.02))
        decisions = scheduler.finish("running", Ending.SERVED, 0.1, NOW + 0.1)
        self.assertEqual([d.claim_id for d in decisions], ["urgent"])

    def test_cancelled_claim_gets_no_slot(self):
        scheduler = make_scheduler(make_registration("u1", slots=1))
        record_hold_times(scheduler, 0.1)
        submit(scheduler, make_claim("running"))
        submit(scheduler, make_claim("gone"))
        scheduler.cancel("gone", "press")
        decisions = scheduler.finish("running", Ending.SERVED, 0.1, NOW + 0.1)
        self.assertEqual(decisions, [])

    def test_respects_excluded_upstreams_and_allowed_regions(self):
        scheduler = make_scheduler(
            make_registration("u1"), make_registration("u2")
        )
        grant = submit(scheduler, make_claim("a", excluded=["u1"]))
        self.assertEqual(grant.upstream_id, "u2")
        decision = submit(scheduler, make_claim("b", regions=["wlg"]))
        self.assertIs(type(decision), Denial)

    def test_new_incarnation_starts_with_free_slots(self):
        scheduler = make_scheduler(make_registration("u1", slots=1))
        submit(scheduler, make_claim("lost"))
        again = make_registration("u1", slots=1, started_at_ms=2)
        scheduler.replace_upstreams([again], {}, NOW + 1)
        decision = submit(scheduler, make_claim("next", now=NOW + 1))
        self.assertIs(type(decision), Grant)

    def test_slot_of_an_upstream_that_left_goes_to_nobody(self):
        """Guards against a claim that is sent to an upstream that is gone."""
        scheduler = make_scheduler(
            make_registration("old", slots=1), make_registration("new", 1)
        )
        record_hold_times(scheduler, 0.1)
        names = {}
        for name in ("a", "b"):
            names[name] = submit(scheduler, make_claim(name)).upstream_id
        submit(scheduler, make_claim("waiting"))
        on_old = next(n for n, upstream in names.items() if upstream == "old")
        scheduler.replace_upstreams([make_registration("new", 1)], {}, NOW)
        ended = scheduler.finish(on_old, Ending.SERVED, 0.1, NOW + 0.1)
        self.assertEqual(ended, [])
        on_new = next(n for n, upstream in names.items() if upstream == "new")
        (grant,) = scheduler.finish(on_new, Ending.SERVED, 0.1, NOW + 0.1)
        self.assertEqual(
            (grant.claim_id, grant.upstream_id), ("waiting", "new")
        )


class DenialTest(unittest.TestCase):
    def test_denies_at_once_a_claim_that_will_miss_its_deadline(self):
        scheduler = make_scheduler(make_registration("u1", slots=1))
        submit(scheduler, make_claim("running"))
        decision = submit(scheduler, make_claim("late", deadline_s=0.3))
        self.assertIs(type(decision), Denial)
        self.assertEqual(decision.reason, Reason.OVERLOADED)
        self.assertGreater(decision.retry_after, 0)

    def test_denies_a_waiting_claim_that_will_miss_its_deadline(self):
        scheduler = make_scheduler(make_registration("u1", slots=1))
        record_hold_times(scheduler, 0.1)
        submit(scheduler, make_claim("running"))
        waits = submit(scheduler, make_claim("waits", deadline_s=0.4))
        self.assertIs(type(waits), Queued)
        decisions = scheduler.tick(NOW + 0.35)
        self.assertEqual([type(d) for d in decisions], [Denial])

    def test_denies_claims_of_a_service_without_upstreams(self):
        decision = submit(make_scheduler(), make_claim("a"))
        self.assertEqual(decision.reason, Reason.NO_UPSTREAM)


class ObjectCacheTest(unittest.TestCase):
    """Requests run faster on upstreams that have cached their object."""

    def test_prefers_the_upstream_that_has_cached_the_object(self):
        scheduler = make_scheduler(
            *(make_registration(f"u{n}") for n in range(8))
        )
        first = submit(scheduler, make_claim("a", key="7")).upstream_id
        scheduler.finish("a", Ending.SERVED, 0.4, NOW + 0.4)
        grant = submit(scheduler, make_claim("b", key="7", now=NOW + 0.5))
        self.assertEqual(grant.upstream_id, first)
        self.assertTrue(grant.is_warm)

    def test_all_schedulers_send_an_object_to_the_same_upstream(self):
        upstreams = [make_registration(f"u{n}") for n in range(8)]
        grants = [
            submit(make_scheduler(*order), make_claim("a", key="7"))
            for order in (upstreams, upstreams[::-1])
        ]
        self.assertEqual(grants[0].upstream_id, grants[1].upstream_id)

    def test_uncached_object_goes_to_the_zone_of_the_claim(self):
        """Traffic between zones is billed."""
        scheduler = make_scheduler(
            *(make_registration(f"a{n}", zone="a") for n in range(3)),
            *(make_registration(f"b{n}", zone="b") for n in range(3)),
        )
        grants = [
            submit(
                scheduler, make_claim(str(n), key=f"object-{n}", zone="akl-b")
            )
            for n in range(3)
        ]
        zones = {grant.upstream_id[0] for grant in grants}
        self.assertEqual(zones, {"b"})

    def test_zone_does_not_change_the_share_of_other_regions(self):
        local = [
            make_registration(f"a{n}", zone=z) for n, z in enumerate("ab")
        ]
        remote = [make_registration(f"w{n}", region="wlg") for n in range(4)]
        scheduler = make_scheduler(*local, *remote)
        scheduler.borrow("wlg", {f"w{n}": 2 for n in range(4)}, 0.0)
        ranking = scheduler._get_service("press").ranking
        for n in range(50):
            places = [
                [u.upstream_id[0] for u in ranking.order(f"o{n}", zone)]
                for zone in ("akl-a", "akl-b", "")
            ]
            self.assertEqual(places[0], places[1])
            self.assertEqual(places[0], places[2])

    def test_waits_for_a_busy_upstream_that_has_cached_the_object(self):
        scheduler = make_scheduler(
            *(make_registration(f"u{n}") for n in range(4))
        )
        record_hold_times(scheduler, 0.1, "7")
        grant = submit(scheduler, make_claim("a", key="7"))
        submit(scheduler, make_claim("b", key="7"))
        waits = submit(scheduler, make_claim("c", key="7"))
        self.assertIs(type(waits), Queued)
        self.assertEqual(scheduler.tick(NOW + 0.05), [])
        (decision,) = scheduler.finish("a", Ending.SERVED, 0.1, NOW + 0.1)
        self.assertEqual(decision.upstream_id, grant.upstream_id)
        self.assertTrue(decision.is_warm)

    def test_uses_an_idle_upstream_when_waiting_misses_the_objective(self):
        scheduler = make_scheduler(
            *(make_registration(f"u{n}", slots=4) for n in range(2))
        )
        record_hold_times(scheduler, 0.4, "7")
        grants = [
            submit(scheduler, make_claim(str(n), key="7")) for n in range(5)
        ]
        names = [grant.upstream_id for grant in grants]
        self.assertEqual(len(set(names[:4])), 1)
        self.assertNotEqual(names[4], names[0])

    def test_starts_no_cold_run_without_idle_slots(self):
        scheduler = make_scheduler(
            make_registration("u1", slots=1), make_registration("u2", slots=1)
        )
        record_hold_times(scheduler, 0.1, "7")
        for name in ("a", "b"):
            submit(scheduler, make_claim(name, key="7"))
        decisions = scheduler.finish("a", Ending.SERVED, 0.1, NOW + 0.1)
        self.assertEqual([d.claim_id for d in decisions], ["b"])

    def test_request_that_was_shed_is_not_counted_as_cached(self):
        scheduler = make_scheduler(make_registration("u1"))
        submit(scheduler, make_claim("a", key="7"))
        scheduler.finish("a", Ending.SHED, 0.1, NOW + 0.1)
        grant = submit(scheduler, make_claim("b", key="7", now=NOW + 0.2))
        self.assertFalse(grant.is_warm)


class UnhealthyUpstreamTest(unittest.TestCase):
    """Upstreams that are unreachable, slow, failing, cold or new."""

    def test_suspends_an_unreachable_upstream(self):
        scheduler = make_scheduler(make_registration("u1"))
        record_hold_times(scheduler, 0.1)
        submit(scheduler, make_claim("a"))
        scheduler.finish("a", Ending.UNREACHABLE, 0.0, NOW)
        waits = submit(scheduler, make_claim("b", now=NOW + 0.1))
        self.assertIs(type(waits), Queued)
        (decision,) = scheduler.tick(NOW + 0.6)
        self.assertIs(type(decision), Grant)

    def test_avoids_a_slow_upstream_and_probes_it(self):
        scheduler = self._make_pair()
        self._record_runs(scheduler, "u1", Ending.SERVED, 5.0)
        self._record_runs(scheduler, "u2", Ending.SERVED, 0.4)
        self.assertEqual(self._count_grants(scheduler, "u1"), 1)

    def test_avoids_an_upstream_that_sheds_requests(self):
        scheduler = self._make_pair()
        self._record_runs(scheduler, "u1", Ending.SHED, 0.0)
        self.assertLessEqual(self._count_grants(scheduler, "u1"), 1)

    def test_avoids_no_upstream_when_most_are_failing(self):
        scheduler = self._make_pair()
        for name in ("u1", "u2"):
            self._record_runs(scheduler, name, Ending.SHED, 0.0)
        self.assertGreater(self._count_grants(scheduler, "u1"), 1)
        self.assertGreater(self._count_grants(scheduler, "u2"), 1)

    def test_cold_upstream_gets_no_more_than_its_rate(self):
        scheduler = make_scheduler(
            make_registration("u1", slots=90, cold_for_s=30.0)
        )
        granted = 0
        for n in range(100):
            now = NOW + n / 100
            claim = make_claim(str(n), now=now)
            granted += type(submit(scheduler, claim, now)) is Grant
        self.assertLessEqual(granted, 8)
        self.assertGreaterEqual(granted, 5)

    def test_upstream_that_joins_gets_the_first_request(self):
        first = make_registration("u1", slots=50)
        scheduler = make_scheduler(first)
        record_hold_times(scheduler, 0.1, "7")
        joined = make_registration("u2", slots=50)
        scheduler.replace_upstreams([first, joined], {}, NOW)
        grants = [
            submit(scheduler, make_claim(str(n), key="7")) for n in range(3)
        ]
        names = [grant.upstream_id for grant in grants]
        self.assertEqual(names, ["u2", "u1", "u1"])

    def _make_pair(self):
        return make_scheduler(
            make_registration("u1", slots=9), make_registration("u2", slots=9)
        )

    def _record_runs(self, scheduler, upstream_id, ending, held_s):
        other = {"u1": "u2", "u2": "u1"}[upstream_id]
        for n in range(12):
            name = f"{upstream_id}-{n}"
            claim = make_claim(name, now=float(n), excluded=[other])
            submit(scheduler, claim)
            scheduler.finish(name, ending, held_s, n + 0.5)

    def _count_grants(self, scheduler, upstream_id):
        grants = [
            submit(scheduler, make_claim(f"x{n}", now=NOW + n / 100))
            for n in range(8)
        ]
        return sum(g.upstream_id == upstream_id for g in grants)
