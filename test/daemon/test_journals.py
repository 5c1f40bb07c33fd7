"""Tests of asking a journal's home through whole daemons."""

from test._common import PausedTestCase
from test.daemon._fleet import Fleet


class JournalClientTest(PausedTestCase):
    """Orders through each host while the store is out."""

    async def test_says_not_run_where_no_home_could_record(self):
        async with Fleet(2) as fleet:
            fleet.store.faults.outage = True
            for number in range(8):
                sent = await fleet.send(
                    "POST",
                    f"/batches/{number}",
                    host=fleet.hosts[number % 2],
                    order=f"order-{number}",
                )
                said = (sent.reason, sent.outcome)
                self.assertEqual(said, ("record-unavailable", "not-run"))
            self.assertEqual(fleet.count_runs("/batches"), 0)
