"""Chooses the host that counts slots and rates for a region.

There is no election. Each host follows the first reachable host of its
region, in an order that all hosts share. A host with followers is a leader;
its share of the slots and rates is that of the parts that they lend it (see
`radishstile.fleet.parts`). An isolated host goes on with its own part.
"""

import xxhash

# How long a leader counts a follower after its last heartbeat, in seconds:
# three intervals of `FOLLOW_INTERVAL_S`, to tolerate a lost packet.
FOLLOWER_TIMEOUT_S = 1.5
# Time between a follower's heartbeats, in seconds.
FOLLOW_INTERVAL_S = 0.4
# How long a follower keeps a leader that does not answer, in seconds.
LEADER_TIMEOUT_S = 1.0
# Age of a host's store data, in seconds, up to which others watch the store
# through it. A leader that reaches the store has an answer every 0.8 s, or
# every 1.2 s while the store is slow. The rest must leave time to learn of a
# leaving upstream within the shortest drain bound, 2.5 s.
FRESH_MAX_AGE_S = 1.5
# Age of a leader's last answer from the store, in seconds, past which it
# watches through another region's leader, before its followers change source.
LEADER_REJECTED_AGE_S = 1.25
# Store data age, in seconds, past which a leader is replaced by a host with
# newer data. Longer, since a leader change costs more than a call.
LEADER_STALE_AGE_S = 2.6
# Hosts whose leader has lost the store call it two at a time, this many
# seconds apart, so that all can use the first answer.
PROBE_INTERVAL_S = 0.3
PROBES_PER_INTERVAL = 2
# Time between heartbeats in seconds while hosts look for one that has reached
# the store, and how long after the loss of fresh data they do so: all have
# called the store themselves by then.
SEARCH_INTERVAL_S = 0.1
SEARCH_LIMIT_S = 1.5
# Hosts of its region that a host stays connected to, while they answer: the
# leader, and three more that can replace it at once.
DIALLED_HOSTS = 4


def choose_heartbeat_interval(store_data_age_s: float) -> float:
    """Return the seconds between heartbeats, by the age of the store data.

    The age is that of the leader's data. When it is no longer fresh, hosts
    must learn soon which of them has reached the store.
    """
    lost_s = store_data_age_s - FRESH_MAX_AGE_S
    if 0 < lost_s <= SEARCH_LIMIT_S:
        return SEARCH_INTERVAL_S
    return FOLLOW_INTERVAL_S


class Contact:
    """A host of the region that another one connects to, as that one sees it.

    `is_lost` tells whether it has not answered for too long. `leader` is the
    host that it follows, empty if it is not known.
    """

    __slots__ = ("is_lost", "leader")

    def __init__(self, is_lost: bool, leader: str):
        self.is_lost = is_lost
        self.leader = leader


class FreshHosts:
    """The hosts that have reported fresh store data in a heartbeat."""

    __slots__ = ("_data_at",)

    def __init__(self):
        # The loop's time that each host's store data dates from, in seconds.
        self._data_at: dict[str, float] = {}

    def record(self, host: str, age_s: float, now: float) -> None:
        """Record the age of a host's store data, in seconds."""
        if age_s <= FRESH_MAX_AGE_S:
            self._data_at[host] = now - age_s
        else:
            self._data_at.pop(host, None)

    def find_first(self, hosts: list[str], now: float) -> str | None:
        """Return the first of some hosts that still has fresh data."""
        for host in hosts:
            data_at = self._data_at.get(host, float("-inf"))
            if now - data_at <= FRESH_MAX_AGE_S:
                return host
        return None


def choose_dialled_hosts(
    hosts: list[str], contacts: dict[str, Contact], fresh_host: str | None
) -> list[str]:
    """Return which of a region's hosts to connect to, in leader order.

    `hosts` are the others of the region, in leader order; `contacts` are those
    connected to before. The first hosts that are not lost may replace the
    leader. `fresh_host`, which has reported fresh store data to this host, and
    the hosts that contacts follow are connected to as well: otherwise a host
    that can use none of the first ones would lead itself, although others
    follow one that it does not see.
    """
    followed = {contact.leader for contact in contacts.values()}
    dialled = []
    live_count = 0
    for host in hosts:
        contact = contacts.get(host)
        if live_count < DIALLED_HOSTS:
            dialled.append(host)
            live_count += contact is None or not contact.is_lost
        elif host == fresh_host or host in followed:
            dialled.append(host)
    return dialled


class Candidate:
    """A host that may become leader, as another host sees it.

    `is_reachable` tells whether it answers, `store_data_age_s` the age of its
    store data in seconds. Only a host that calls the store has data of its
    own, so followers become candidates by calling once their leader is stale.
    """

    __slots__ = ("host", "is_reachable", "store_data_age_s")

    def __init__(self, host: str, is_reachable: bool, store_data_age_s: float):
        self.host = host
        self.is_reachable = is_reachable
        self.store_data_age_s = store_data_age_s


def choose_leader(candidates: list[Candidate]) -> str:
    """Return the first reachable candidate whose store data is current.

    If there is none, the store is down for all and the first reachable one
    leads. The local host is among the candidates and reachable to itself.
    """
    reachable = [c for c in candidates if c.is_reachable]
    current = [
        c for c in reachable if c.store_data_age_s <= LEADER_STALE_AGE_S
    ]
    return (current or reachable)[0].host


def choose_source(
    candidates: list[Candidate],
    local_host: str,
    leader: str,
    followed_s: float,
) -> str:
    """Return the host through which a follower watches the store.

    `local_host` means to call the store itself. `followed_s` is how long the
    leader has been followed, in seconds: a new one needs time for its call.
    """
    by_host = {candidate.host: candidate for candidate in candidates}
    if by_host[leader].store_data_age_s <= FRESH_MAX_AGE_S:
        return leader
    fresh = _find_fresh(candidates, local_host)
    if fresh is not None:
        return fresh
    position = [candidate.host for candidate in candidates].index(local_host)
    wait_limit_s = FRESH_MAX_AGE_S + PROBE_INTERVAL_S * (
        position // PROBES_PER_INTERVAL
    )
    leader_age_s = min(by_host[leader].store_data_age_s, followed_s)
    return local_host if leader_age_s > wait_limit_s else leader


def choose_leader_source(
    local: Candidate,
    local_hosts: list[Candidate],
    remote_leaders: list[Candidate],
) -> str:
    """Return the host through which a leader watches the store.

    The age of `local` is that of the store's last answer to this host. A
    leader rejected by the store watches through another region's leader, or
    a host of its own region that has reached the store.
    """
    if local.store_data_age_s <= LEADER_REJECTED_AGE_S:
        return local.host
    return _find_fresh(remote_leaders + local_hosts, local.host) or local.host


def _find_fresh(candidates: list[Candidate], local_host: str) -> str | None:
    for candidate in candidates:
        is_fresh = (
            candidate.is_reachable
            and candidate.store_data_age_s <= FRESH_MAX_AGE_S
        )
        if is_fresh and candidate.host != local_host:
            return candidate.host
    return None


def digest_hosts(hosts: list[str]) -> int:
    """Return the 64-bit XXH3 of the names of hosts, in order."""
    return xxhash.xxh3_64_intdigest("\0".join(hosts).encode())


class Followers:
    """The hosts that follow this one, each until its heartbeats time out."""

    __slots__ = ("_heartbeat_at", "_leaving")

    def __init__(self):
        self._heartbeat_at: dict[str, float] = {}
        self._leaving: set[str] = set()

    def record_heartbeat(
        self, host: str, is_leaving: bool, now: float
    ) -> None:
        """Record a heartbeat of a follower."""
        self._heartbeat_at[host] = now
        if is_leaving:
            self._leaving.add(host)
        else:
            self._leaving.discard(host)

    def drop(self, host: str) -> None:
        """Remove a follower that was lost or follows another host."""
        self._heartbeat_at.pop(host, None)
        self._leaving.discard(host)

    def list_live(self, now: float) -> list[str]:
        """Return the followers with a recent heartbeat."""
        self._expire(now)
        return sorted(self._heartbeat_at)

    def list_serving(self, now: float) -> list[str]:
        """Return the live followers that are not leaving."""
        return [h for h in self.list_live(now) if h not in self._leaving]

    def _expire(self, now: float) -> None:
        expired = [
            host
            for host, beat_at in self._heartbeat_at.items()
            if now - beat_at > FOLLOWER_TIMEOUT_S
        ]
        for host in expired:
            self.drop(host)
