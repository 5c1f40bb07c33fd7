"""Detects poison requests, which crash the upstreams that run them."""

from enum import Enum
from functools import singledispatchmethod

from radishstile.run.settings import RunSettings

CRASHED_UPSTREAMS_LIMIT = 2


class PoisonVerdict(Enum):
    """Whether a request may be sent.

    A request on probation must go to an upstream that runs no other
    suspect, so that a crash can be attributed to it.
    """

    ALLOWED = "allowed"
    PROBATION = "probation"
    REFUSED = "refused"


class CrashReport:
    """Reports that an upstream crashed while it ran the given requests.

    `report_id` is unique in the fleet.
    """

    __slots__ = ("report_id", "upstream", "fingerprints")

    def __init__(
        self, report_id: str, upstream: str, fingerprints: frozenset[bytes]
    ):
        self.report_id = report_id
        self.upstream = upstream
        self.fingerprints = fingerprints


class SuccessReport:
    """Reports that a suspect completed without a crash of its upstream."""

    __slots__ = ("report_id", "fingerprint")

    def __init__(self, report_id: str, fingerprint: bytes):
        self.report_id = report_id
        self.fingerprint = fingerprint


class Suspect:
    """The upstreams that crashed while they ran one request."""

    __slots__ = ("upstreams", "is_refused", "last_crash_at")

    def __init__(self, now: float):
        self.upstreams: set[str] = set()
        self.is_refused = False
        self.last_crash_at = now


class PoisonDetector:
    """Counts the crashes of each request across the fleet.

    Every request that ran on a crashed upstream becomes a suspect. It is
    refused once `CRASHED_UPSTREAMS_LIMIT` upstreams crashed with it, the
    last of them while it was the only known suspect there, so that requests
    that merely ran beside a poison request are not refused.
    """

    __slots__ = ("settings", "_suspects", "_applied_reports")

    def __init__(self, settings: RunSettings):
        self.settings = settings
        self._suspects: dict[bytes, Suspect] = {}
        self._applied_reports: dict[str, float] = {}

    def check(self, fingerprint: bytes, now: float) -> PoisonVerdict:
        """Return whether the request may be sent at `now`."""
        self._expire(now)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return PoisonVerdict.ALLOWED
        if suspect.is_refused:
            return PoisonVerdict.REFUSED
        return PoisonVerdict.PROBATION

    def apply(self, report: CrashReport | SuccessReport, now: float) -> bool:
        """Apply a report; return False if it was applied before."""
        self._expire(now)
        if report.report_id in self._applied_reports:
            return False
        self._applied_reports[report.report_id] = now
        self._apply(report, now)
        return True

    @singledispatchmethod
    def _apply(self, report, now: float) -> None:
        raise TypeError(type(report).__name__)

    @_apply.register
    def _(self, report: SuccessReport, now: float) -> None:
        self._suspects.pop(report.fingerprint, None)

    @_apply.register
    def _(self, report: CrashReport, now: float) -> None:
        known = [
            fingerprint
            for fingerprint in report.fingerprints
            if fingerprint in self._suspects
        ]
        for fingerprint in report.fingerprints:
            suspect = self._suspects.setdefault(fingerprint, Suspect(now))
            suspect.upstreams.add(report.upstream)
            suspect.last_crash_at = now
        if len(known) != 1:
            return
        sole_suspect = self._suspects[known[0]]
        if len(sole_suspect.upstreams) >= CRASHED_UPSTREAMS_LIMIT:
            sole_suspect.is_refused = True

    def _expire(self, now: float) -> None:
        oldest = now - self.settings.harm_retention_s
        self._suspects = {
            fingerprint: suspect
            for fingerprint, suspect in self._suspects.items()
            if suspect.last_crash_at > oldest
        }
        while (
            self._applied_reports
            and next(iter(self._applied_reports.values())) <= oldest
        ):
            del self._applied_reports[next(iter(self._applied_reports))]
