"""Tests of encoded requests and answers: headers, statuses, keys."""

import math
import unittest

from radishstile.errors import LoadReportError, RefusalError
from radishstile.http.message import AnswerHead, Request
from radishstile.outcome import Outcome, Reason
from radishstile.platform.http_codec import (
    classify_answer,
    decode_caller_request,
    encode_answer,
    encode_refusal,
    encode_request_head,
    find_status,
    read_keepalive_timeout,
    read_leaving,
    read_load,
    read_pause,
    read_rate_limit,
)
from radishstile.slot.claim import Ending
from test.slot._common import make_registration

HEADERS = [
    (b"host", b"A.example:80"),
    (b"x-request-id", b"r1"),
    (b"x-deadline-ms", b"3000"),
    (b"x-affinity-key", b"17"),
    (b"authorization", b"Bearer secret"),
]


def make_request(extra=(), method=b"GET", body=b"", headers=HEADERS):
    return Request(method, b"/a/x?y=1", [*headers, *extra], body, True, 0.0)


def encode(request, workspace="bureau", remaining_s=2.5):
    caller_request = decode_caller_request(request)
    upstream = make_registration("i-1")
    return encode_request_head(
        caller_request, upstream, workspace, remaining_s
    )


class CallerRequestTest(unittest.TestCase):
    def test_decodes_the_headers_of_a_caller(self):
        caller_request = decode_caller_request(make_request())
        self.assertEqual(caller_request.hostname, "a.example")
        self.assertEqual(caller_request.api_key, "secret")
        self.assertEqual(caller_request.deadline_s, 3.0)
        self.assertEqual(caller_request.affinity_key, "17")

    def test_refuses_requests_without_id_host_or_a_valid_deadline(self):
        for headers in (
            HEADERS[1:],
            [HEADERS[0], *HEADERS[2:]],
            [*HEADERS[:2], (b"x-deadline-ms", b"soon")],
        ):
            with self.subTest(headers), self.assertRaises(RefusalError) as got:
                decode_caller_request(make_request(headers=headers))
            self.assertEqual(got.exception.reason, Reason.BAD_REQUEST)


class UpstreamRequestTest(unittest.TestCase):
    def test_omits_the_key(self):
        self.assertNotIn(b"secret", encode(make_request()))

    def test_replaces_the_workspace_that_the_caller_sent(self):
        content = encode(make_request([(b"x-tenant", b"other")]))
        self.assertNotIn(b"other", content)
        self.assertIn(b"X-Tenant: bureau\r\n", content)

    def test_names_the_upstream_and_the_remaining_time(self):
        content = encode(make_request())
        self.assertIn(b"X-Expect-Instance: i-1\r\n", content)
        self.assertIn(b"X-Deadline-Ms: 2500\r\n", content)
        self.assertNotIn(b"3000", content)

    def test_keeps_method_target_body_and_other_headers(self):
        request = make_request([(b"x-own", b"1")], b"POST", b"body")
        content = encode(request)
        self.assertTrue(content.startswith(b"POST /a/x?y=1 HTTP/1.1\r\n"))
        self.assertIn(b"x-own: 1\r\n", content)
        self.assertTrue(content.endswith(b"Content-Length: 4\r\n\r\n"))

    def test_drops_hop_by_hop_headers(self):
        extra = [
            (b"connection", b"keep-alive, X-Mine"),
            (b"x-mine", b"1"),
            (b"transfer-encoding", b"chunked"),
        ]
        content = encode(make_request(extra)).lower()
        for name in (b"x-mine", b"transfer-encoding", b"connection:"):
            self.assertNotIn(name, content)


class AnswerTest(unittest.TestCase):
    def test_classifies_answers_by_status_and_headers(self):
        stamp = (b"X-Response-Stamp", b"s")
        cases = (
            (200, [stamp], Ending.SERVED),
            (200, [], Ending.BROKEN),
            (404, [stamp], Ending.SERVED),
            (500, [stamp], Ending.FAILED),
            (503, [(b"X-Not-Executed", b"1")], Ending.SHED),
            (503, [stamp], Ending.FAILED),
            (429, [(b"X-Not-Executed", b"1")], Ending.SHED),
            (421, [(b"X-Instance-Id", b"i-2")], Ending.MISDIRECTED),
        )
        for status, headers, ending in cases:
            with self.subTest(status=status, headers=headers):
                found = classify_answer(AnswerHead(status, headers))
                self.assertIs(found, ending)

    def test_replaces_the_length_and_hop_by_hop_headers(self):
        headers = [
            (b"X-Request-Id", b"r1"),
            (b"Keep-Alive", b"timeout=10"),
            (b"Content-Length", b"99"),
        ]
        head = encode_answer(AnswerHead(200, headers), 3, True)
        self.assertIn(b"X-Request-Id: r1\r\n", head)
        self.assertIn(b"Content-Length: 3\r\n", head)
        self.assertIn(b"Connection: close\r\n", head)
        self.assertNotIn(b"99", head)
        self.assertNotIn(b"Keep-Alive", head)

    def test_reads_the_keepalive_timeout(self):
        head = AnswerHead(200, [(b"Keep-Alive", b"timeout=10, max=5")])
        self.assertEqual(read_keepalive_timeout(head), 10.0)
        self.assertIsNone(read_keepalive_timeout(AnswerHead(200, [])))


class RefusalStatusTest(unittest.TestCase):
    """Statuses that imply "not run" are sent only where that is known."""

    def test_no_not_run_status_after_a_request_was_sent(self):
        for reason in Reason:
            for outcome in (Outcome.UNKNOWN, Outcome.RAN):
                refusal = RefusalError(reason, outcome, 1.0)
                with self.subTest(reason=reason, outcome=outcome):
                    self.assertNotIn(
                        find_status(refusal), (408, 421, 429, 503)
                    )

    def test_a_request_that_was_not_run_may_be_retried(self):
        for reason in (
            Reason.DEADLINE,
            Reason.UPSTREAM_LOST,
            Reason.OVERLOADED,
            Reason.PEER_LOST,
        ):
            refusal = RefusalError(reason, Outcome.NOT_RUN, 0.25)
            with self.subTest(reason):
                self.assertEqual(find_status(refusal), 503)
                content = encode_refusal(refusal, "r1", False)
                self.assertIn(b"Retry-After: 0.25\r\n", content)


class RateLimitTest(unittest.TestCase):
    def read(self, *values):
        headers = [(b"Server-Limit", value) for value in values]
        return read_rate_limit(AnswerHead(200, headers))

    def test_decimal_numbers_are_limits(self):
        self.assertEqual(self.read(b"2.8"), 2.8)
        self.assertEqual(self.read(b" 5 "), 5.0)
        self.assertEqual(self.read(b"0"), 0.0)

    def test_an_answer_without_the_header_names_no_limit(self):
        self.assertEqual(self.read(), math.inf)

    def test_anything_else_tells_nothing(self):
        for value in (b"", b"-1", b"nan", b"inf", b"1e3", b"9" * 400, b"x"):
            with self.subTest(value=value):
                self.assertIsNone(self.read(value))
        self.assertIsNone(self.read(b"2", b"3"))
        self.assertIsNone(self.read(b"9999999"))


class LeavingTest(unittest.TestCase):
    """Guards against odd headers that take an upstream out of use."""

    def read(self, read, name, *values, status=503):
        return read(AnswerHead(status, [(name, value) for value in values]))

    def test_leaving_is_told_by_one_value_only(self):
        name = b"Server-Leaving"
        self.assertIs(self.read(read_leaving, name, b" 1 "), True)
        self.assertIs(self.read(read_leaving, name), False)
        self.assertIs(self.read(read_leaving, name, b"1", status=421), False)
        for values in ([b"0"], [b""], [b"yes"], [b"1", b"1"]):
            self.assertIsNone(self.read(read_leaving, name, *values))

    def test_pauses_are_seconds_of_a_refusal(self):
        name = b"Retry-After"
        self.assertEqual(self.read(read_pause, name, b"1.5"), 1.5)
        self.assertEqual(self.read(read_pause, name), 0.0)
        self.assertEqual(self.read(read_pause, name, b"2", status=200), 0.0)
        for values in ([b"-1"], [b"soon"], [b"1e9"], [b"999"], [b"2", b"3"]):
            self.assertIsNone(self.read(read_pause, name, *values))


class LoadTest(unittest.TestCase):
    """Guards against figures of a faulty upstream that steer requests."""

    def read(self, *values):
        headers = [(b"X-Server-Load", value) for value in values]
        return read_load(AnswerHead(200, headers), 7.0)

    def test_the_fourth_figure_is_the_pace(self):
        load = self.read(b"3,1,6,250")
        self.assertEqual((load.running, load.waiting, load.slots), (3, 1, 6))
        self.assertEqual((load.pace, load.heard_at), (2.5, 7.0))
        self.assertEqual(self.read(b" 3, 1 ,6 , 87.5 ").pace, 0.875)

    def test_three_figures_name_no_pace(self):
        self.assertIsNone(self.read(b"3,1,6").pace)
        self.assertIsNone(self.read())

    def test_anything_else_is_malformed(self):
        many = b"9" * 5000
        values = b"|3,1|3,1,6,|3,1,6,100,1|-3,1,6,100|3,1,6,-100|3,1,6,0"
        values += b"|3,1,6,nan|3,1,6,1e3|3,1,6,999999|99999999,1,6,100"
        values += b"|3;1;6;100|3,1,6,\xd9\xa1|3,1,6,\xff|3,1,6,100\x00"
        for value in (*values.split(b"|"), b"3,1,6," + many, many):
            with self.subTest(value), self.assertRaises(LoadReportError):
                self.read(value)
        with self.assertRaises(LoadReportError):
            self.read(b"3,1,6,100", b"3,1,6,100")
