"""Ranks the entry hosts for look-up answers by client block."""

import math
from collections.abc import Iterable

import xxhash

from radishstile.lookup.settings import LookupSettings
from radishstile.member import Member

MIN_HOSTS = 3
_HASH_RANGE = 1 << 64
_UNKNOWN_DISTANCE_MS = math.inf


class LookupAnswer:
    """Entry hosts in order of preference, valid for `ttl_s` seconds."""

    __slots__ = ("hosts", "ttl_s")

    def __init__(self, hosts: tuple[Member, ...], ttl_s: float):
        self.hosts = hosts
        self.ttl_s = ttl_s


class _Candidate:
    """A member with its hash seed and weight."""

    __slots__ = ("member", "seed", "weight")

    def __init__(self, member: Member, weight: float):
        self.member = member
        self.seed = xxhash.xxh3_64_intdigest(member.host.encode())
        self.weight = weight

    def score(self, key: bytes) -> float:
        """Return the weighted rendezvous score for `key`."""
        drawn = xxhash.xxh3_64_intdigest(key, self.seed)
        return -self.weight / math.log((drawn + 0.5) / _HASH_RANGE)

    def score_unweighted(self, key: bytes) -> int:
        """Return a score for `key` that ignores the weight.

        For equal weights it gives the order of `score` at a lower cost.
        """
        return xxhash.xxh3_64_intdigest(key, self.seed)


class HostDirectory:
    """Ranks live entry hosts for each bucket of client blocks.

    `region` is the region of the local host. `distances_ms` maps (region,
    region) to the round trip in milliseconds; regions
    at an unknown distance come last.
    """

    __slots__ = (
        "region",
        "_settings",
        "_distances_ms",
        "_candidates",
        "_ranked_regions",
        "_cache",
        "_hot_hosts",
        "_members",
    )

    def __init__(
        self,
        settings: LookupSettings,
        region: str,
        distances_ms: dict[tuple[str, str], float] | None = None,
    ):
        self.region = region
        self._settings = settings
        self._distances_ms = distances_ms or {}
        self._candidates: dict[str, list[_Candidate]] = {}
        self._ranked_regions: dict[str, list[str]] = {}
        self._cache: dict[str, list[LookupAnswer | None]] = {}
        self._hot_hosts: frozenset[str] = frozenset()
        self._members: list[Member] = []

    def replace_members(self, members: Iterable[Member]) -> None:
        """Replace the members that answers may name.

        The caller omits leaving and suspected members; cached answers that
        name them are dropped.
        """
        ordered = sorted(members, key=lambda member: member.host)
        if [m.identity for m in ordered] == [
            m.identity for m in self._members
        ]:
            return
        self._members = ordered
        self._rebuild()

    def replace_hot_hosts(self, hosts: Iterable[str]) -> None:
        """Replace the names of the hosts that report overload."""
        hot = frozenset(hosts)
        if hot == self._hot_hosts:
            return
        self._hot_hosts = hot
        self._rebuild()

    def _rebuild(self) -> None:
        self._cache.clear()
        self._ranked_regions.clear()
        self._candidates = {}
        for member in self._members:
            is_hot = member.host in self._hot_hosts
            weight = self._settings.hot_weight if is_hot else 1.0
            candidate = _Candidate(member, weight)
            self._candidates.setdefault(member.region, []).append(candidate)

    def answer(self, region: str, block: bytes) -> LookupAnswer:
        """Return the hosts for a client block that is served in `region`."""
        digest = xxhash.xxh3_64_intdigest(block)
        bucket = digest % self._settings.buckets
        answers = self._cache.get(region)
        if answers is None:
            answers = [None] * self._settings.buckets
            self._cache[region] = answers
        answer = answers[bucket]
        if answer is None:
            answer = answers[bucket] = self._make_answer(region, bucket)
        return answer

    def _make_answer(self, region: str, bucket: int) -> LookupAnswer:
        key = bucket.to_bytes(4)
        hosts = self._rank_hosts(region, key, self._settings.hosts)
        missing = max(0, MIN_HOSTS - len(hosts))
        wanted = max(self._settings.fallback_hosts, missing)
        hosts.extend(self._pick_fallbacks(region, key, wanted))
        return LookupAnswer(tuple(hosts), self._settings.ttl_s)

    def _pick_fallbacks(
        self, region: str, key: bytes, count: int
    ) -> list[Member]:
        """Return hosts of the other regions in turn, nearest region first."""
        choices = [
            self._rotate_hosts(other, key, count)
            for other in self._rank_regions(region)
        ]
        ranked = [
            (rank, order, host)
            for order, hosts in enumerate(choices)
            for rank, host in enumerate(hosts)
        ]
        ranked.sort(key=lambda entry: entry[:2])
        return [host for _, _, host in ranked[:count]]

    def _rank_hosts(self, region: str, key: bytes, count: int) -> list[Member]:
        """Return the best hosts of a region, the second from another zone."""
        candidates = self._candidates.get(region)
        if not candidates:
            return []
        rank = (
            _Candidate.score
            if self._hot_hosts
            else _Candidate.score_unweighted
        )
        ranked = sorted(
            candidates,
            key=lambda candidate: rank(candidate, key),
            reverse=True,
        )
        return _spread_zones(ranked)[:count]

    def _rotate_hosts(
        self, region: str, key: bytes, count: int
    ) -> list[Member]:
        """Return hosts of a region, from an offset derived from `key`."""
        candidates = self._candidates[region]
        begin = xxhash.xxh3_64_intdigest(key) % len(candidates)
        ranked = candidates[begin:] + candidates[:begin]
        return _spread_zones(ranked)[:count]

    def _rank_regions(self, region: str) -> list[str]:
        nearest = self._ranked_regions.get(region)
        if nearest is None:
            others = [name for name in self._candidates if name != region]
            nearest = sorted(
                others, key=lambda other: self._rank_distance(region, other)
            )
            self._ranked_regions[region] = nearest
        return nearest

    def _rank_distance(self, region: str, other: str) -> tuple[float, str]:
        pair = (region, other)
        return self._distances_ms.get(pair, _UNKNOWN_DISTANCE_MS), other


def _spread_zones(ranked: list[_Candidate]) -> list[Member]:
    """Return the members in order, the second one from another zone."""
    members = [candidate.member for candidate in ranked]
    zone = members[0].zone
    for index, member in enumerate(members):
        if member.zone != zone:
            members.insert(1, members.pop(index))
            break
    return members
