"""Tests that the checks of the soak test detect each broken promise."""

import unittest

from soak.evidence import IndexedRecord
from soak.promises import NOT_CURRENT, check_all
from soak.record import (
    Arrival,
    Evacuation,
    FaultPeriod,
    Run,
    SentRequest,
    SoakRecord,
)
from soak.settings import SoakSettings
from soak.upstream import make_body

END_S = 40.0


class PromiseChecksTest(unittest.TestCase):
    """Each test adds one breach to a valid record of three requests."""

    def setUp(self):
        self.record = SoakRecord()
        self.record.key_workspaces = {"good": "bureau", "gone": "bureau"}
        self.non_idempotent = self.add_request(
            "c0-1", "/order/1", 10.0, is_non_idempotent=True
        )
        self.read = self.add_request("c0-2", "/read/1", 20.0)
        self.add_request("c0-3", "/read/2", 30.0)

    def add_request(
        self, request_id, target, at, is_non_idempotent=False, key="good"
    ):
        request = SentRequest(
            request_id, "h", target, is_non_idempotent, key, at
        )
        request.status = 200
        request.ended_at = at + 0.1
        request.body = make_body(request_id, target)
        self.record.requests.append(request)
        self.add_run(request)
        return request

    def add_run(self, request, workspace="bureau", upstream="i-1"):
        self.record.runs.append(
            Run(
                request.request_id,
                request.target,
                workspace,
                "",
                upstream,
                "akl-a",
                request.sent_at + 0.05,
            )
        )

    def check(self, *promises):
        settings = SoakSettings(0, "")
        found = check_all(IndexedRecord(self.record, settings, END_S))
        self.assertEqual([each.promise for each in found], list(promises))

    def add_fault_period(self, begin, end, is_planned=False):
        period = FaultPeriod("kind", "h", is_planned, begin)
        period.end = end
        self.record.fault_periods.append(period)

    def test_valid_record_breaks_no_promise(self):
        self.check()

    def test_non_idempotent_request_that_ran_twice(self):
        self.add_run(self.non_idempotent, upstream="i-2")
        self.check("run twice")

    def test_read_may_run_twice(self):
        self.add_run(self.read, upstream="i-2")
        self.check()

    def test_rejected_non_idempotent_request_that_ran(self):
        self.non_idempotent.status = 503
        self.check("rejected and run")

    def test_failed_non_idempotent_request_may_have_run(self):
        self.non_idempotent.status = 502
        self.check()

    def test_answer_of_another_request(self):
        self.read.body = make_body("c0-1", "/read/1")
        self.check("wrong answer")

    def test_run_in_another_workspace(self):
        self.add_run(self.read, workspace="employer")
        self.check("wrong workspace")

    def test_run_of_an_unknown_request(self):
        self.add_run(SentRequest("x", "h", "/read/1", False, "good", 5.0))
        self.check("unknown request")

    def test_key_forwarded_to_an_upstream(self):
        self.record.runs[0].authorization = "Bearer good"
        self.check("key passed on")

    def test_revoked_key_that_still_works(self):
        self.record.key_revocations["gone"] = 10.0
        self.add_request("c0-4", "/read/4", 14.9, key="gone")
        self.check()
        self.add_request("c0-5", "/read/5", 15.1, key="gone")
        self.check("revoked key")

    def test_draining_upstream_that_receives_requests(self):
        self.record.upstream_drains["i-1"] = 27.0
        self.check("draining upstream")
        self.add_fault_period(25.0, 25.5)
        self.check()

    def test_request_lost_without_a_fault(self):
        self.read.status = 0
        self.check("lost request")
        self.add_fault_period(20.0, 21.0, is_planned=True)
        self.check("lost request")
        self.add_fault_period(19.0, 19.5)
        self.check()

    def test_valid_request_that_was_denied(self):
        self.read.status = 401
        self.check("denied")
        self.record.key_revocations["good"] = 39.0
        self.check("not recovered")

    def test_workspace_over_its_rate(self):
        self.record.key_workspaces["few"] = "employer"
        for number in range(140):
            request = SentRequest(
                f"q{number}", "h", "/read/1", False, "few", 5.0
            )
            self.record.requests.append(request)
            request.status = 429
            self.add_run(request, workspace="employer")
        self.check("over its rate")

    def test_evacuated_zone_that_receives_requests(self):
        self.record.evacuations.append(Evacuation("akl-a", 15.0))
        self.record.evacuations[0].end = 22.0
        self.check("evacuated zone")

    def test_added_route_that_hosts_do_not_know(self):
        request = self.add_request("c0-4", "/added-0/1", 30.0)
        self.record.route_additions["/added-0/"] = 20.0
        request.status = 404
        self.record.runs.pop()
        self.check("unknown route")

    def test_confirmation_that_is_missing(self):
        request = self.record.requests[1]
        request.status, request.body = 503, NOT_CURRENT
        self.record.runs.pop(1)
        self.check("not confirmed")

    def test_leaving_upstream_that_receives_requests(self):
        self.record.requests[1].names_leaving = True
        self.check("leaving upstream")

    def test_paused_upstream_that_receives_requests(self):
        for at, pause_s in (
            (10.0, 2.0),
            (11.0, 0.0),
            (11.1, 0.0),
            (11.2, 0.0),
        ):
            self.record.arrivals.append(Arrival("c0-1", "i-1", at, pause_s))
        self.check("paused upstream")

    def test_store_with_too_many_calls(self):
        self.record.store_writes_per_s = 401
        self.check("store overloaded")

    def test_callers_not_served_after_the_last_fault(self):
        self.add_fault_period(1.0, 25.0)
        self.record.requests[-1].status = 503
        self.check("not recovered")
