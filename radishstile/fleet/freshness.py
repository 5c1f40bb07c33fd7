"""Evidence by which a host decides whether its configuration is current.

All times are of the local clock. Reported ages are subtracted from the send
time of the heartbeat, so that ages add up over hops and replies buffered
while this host was paused do not count as recent.
"""

from radishstile.fleet.settings import FleetSettings
from radishstile.fleet.statement import MS_PER_S, ZoneReport, to_age_ms


def _latest(first: float | None, second: float | None) -> float | None:
    if first is None:
        return second
    return first if second is None else max(first, second)


def _to_moment(base: float, age_ms: int | None) -> float | None:
    return None if age_ms is None else base - age_ms / MS_PER_S


class ZoneEvidence:
    """The latest times at which a zone reached or failed to reach the store.

    `confirmed_at` is a lower bound of the time at which `version` was the
    store's newest; `reached_at` is an upper bound of the answer's time.
    """

    __slots__ = ("version", "confirmed_at", "reached_at", "failed_at")

    def __init__(self):
        self.version = 0
        self.confirmed_at: float | None = None
        self.reached_at: float | None = None
        self.failed_at: float | None = None

    def to_report(self, zone: str, now: float, oldest: float) -> ZoneReport:
        """Return the evidence since `oldest`, as ages at `now`."""
        moments = (self.confirmed_at, self.reached_at, self.failed_at)
        ages = (
            to_age_ms(moment, now)
            if moment is not None and moment >= oldest
            else None
            for moment in moments
        )
        return ZoneReport(zone, self.version, *ages)


class FreshnessEvidence:
    """Decides whether this host may accept keys.

    `zone` is the local zone.
    """

    __slots__ = (
        "_zone",
        "_settings",
        "_zones",
        "_confirmed",
        "_peer_failed_at",
        "version",
        "known_version",
        "store_reached_at",
        "store_failed_at",
    )

    def __init__(self, zone: str, settings: FleetSettings):
        self._zone = zone
        self._settings = settings
        self._zones: dict[str, ZoneEvidence] = {}
        self._confirmed: dict[int, float] = {}
        self._peer_failed_at: float | None = None
        self.version = 0
        self.known_version = 0
        self.store_reached_at: float | None = None
        self.store_failed_at: float | None = None

    def record_configuration(self, version: int) -> None:
        """Record that this host has applied `version`."""
        self.version = max(self.version, version)
        self.record_version(version)

    def record_version(self, version: int) -> None:
        """Record that `version` exists."""
        self.known_version = max(self.known_version, version)

    def record_store_reached(
        self, started_at: float, now: float, version: int
    ) -> None:
        """Record an answer of the store with its newest version."""
        self.store_failed_at = None
        self.store_reached_at = _latest(self.store_reached_at, started_at)
        self._confirm(self._zone, started_at, version)
        evidence = self._find(self._zone)
        evidence.reached_at = _latest(evidence.reached_at, now)

    def record_store_failed(self, now: float) -> None:
        """Record that this host failed to reach the store."""
        self.store_failed_at = now
        evidence = self._find(self._zone)
        evidence.failed_at = _latest(evidence.failed_at, now)

    def record_peer_failed(
        self, zone: str, asked_at: float, age_ms: int | None
    ) -> None:
        """Record that a peer reported that it fails to reach the store."""
        if zone != self._zone:
            return
        failed_at = _to_moment(asked_at, age_ms)
        self._peer_failed_at = _latest(self._peer_failed_at, failed_at)

    def record_report(
        self, report: ZoneReport, asked_at: float, now: float
    ) -> None:
        """Apply a peer's report on one zone."""
        if report.confirmed_age_ms is not None:
            moment = _to_moment(asked_at, report.confirmed_age_ms)
            self._confirm(report.zone, moment, report.version)
        evidence = self._find(report.zone)
        # A success refutes an outage, so the latest possible time is used.
        reached_at = _to_moment(now, report.reached_age_ms)
        evidence.reached_at = _latest(evidence.reached_at, reached_at)
        failed_at = _to_moment(asked_at, report.failed_age_ms)
        evidence.failed_at = _latest(evidence.failed_at, failed_at)

    def _find(self, zone: str) -> ZoneEvidence:
        return self._zones.setdefault(zone, ZoneEvidence())

    def _confirm(self, zone: str, moment: float, version: int) -> None:
        # A version lower than a known one comes from a lagging read.
        if version < self.known_version:
            return
        self.record_version(version)
        self._confirmed[version] = max(
            moment, self._confirmed.get(version, moment)
        )
        evidence = self._find(zone)
        evidence.version = version
        evidence.confirmed_at = _latest(evidence.confirmed_at, moment)

    def drop_old(self, now: float) -> None:
        """Drop confirmations older than the limit."""
        oldest = now - self._settings.isolated_after_s
        self._confirmed = {
            version: moment
            for version, moment in self._confirmed.items()
            if moment >= oldest
        }

    def list_reports(self, now: float) -> list[ZoneReport]:
        """Return the evidence of each zone, as ages.

        Evidence older than the limit has no effect and is left out.
        """
        oldest = now - self._settings.isolated_after_s
        return [
            evidence.to_report(zone, now, oldest)
            for zone, evidence in sorted(self._zones.items())
        ]

    def is_recent(self, moment: float | None, now: float) -> bool:
        """Return whether `moment` is at most `isolated_after_s` ago."""
        if moment is None:
            return False
        return now - moment <= self._settings.isolated_after_s

    def find_outdated_reason(
        self, now: float, zones: set[str], is_alone_in_zone: bool
    ) -> str | None:
        """Return why the configuration may be outdated, or None if current.

        `zones` are those of the roster where a member may still be running.
        """
        if self.is_confirmed(now):
            return None
        if self.version < self.known_version:
            return (
                f"has version {self.version}, "
                f"version {self.known_version} exists"
            )
        return self._find_reason_against_outage(now, zones, is_alone_in_zone)

    def is_confirmed(self, now: float) -> bool:
        """Return whether this version was recently the newest."""
        return any(
            version <= self.version and self.is_recent(moment, now)
            for version, moment in self._confirmed.items()
        )

    def _find_reason_against_outage(
        self, now: float, zones: set[str], is_alone_in_zone: bool
    ) -> str | None:
        answered = [evidence.reached_at for evidence in self._zones.values()]
        reached_at = max(
            (moment for moment in answered if moment is not None),
            default=float("-inf"),
        )
        for zone in sorted(zones | {self._zone}):
            failed_at = self._find_failure(zone, zones, is_alone_in_zone)
            if not self.is_recent(failed_at, now):
                return f"no recent store report from zone {zone}"
            if failed_at <= reached_at:
                return f"zone {zone} has not failed since the last answer"
        return None

    def _find_failure(
        self, zone: str, zones: set[str], is_alone_in_zone: bool
    ) -> float | None:
        # With all hosts in one zone, the local failure alone does not tell
        # an outage from the isolation of this host.
        if zones <= {self._zone} and not is_alone_in_zone:
            return self._peer_failed_at
        return self._find(zone).failed_at
