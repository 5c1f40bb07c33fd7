"""Tests of what a host makes of its upstreams' answers."""

from test._common import PausedTestCase
from test.daemon._fleet import Fleet


class LateAnswerTest(PausedTestCase):
    """Upstreams that give up at the deadline say whether they ran."""

    async def test_says_unknown_where_an_upstream_gave_up(self):
        async with Fleet(2) as fleet:
            for number in range(4):
                limit_ms = str(300 + number)
                sent = await fleet.send(
                    "POST",
                    "/batches/1?work_s=5",
                    host=fleet.hosts[number % 2],
                    order=f"order-{number}",
                    headers={"X-Deadline-Ms": limit_ms},
                )
                said = (sent.status, sent.reason, sent.outcome)
                self.assertEqual(said, (504, "deadline", "unknown"))
