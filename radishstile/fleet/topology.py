"""Heartbeat neighbours of each member and watchers of each zone.

All choices are deterministic functions of the members and their states, so
hosts agree without coordination. Disagreement only costs messages.
"""

from collections.abc import Iterable

from radishstile.fleet.roster import compute_weight
from radishstile.fleet.settings import FleetSettings
from radishstile.member import Member

# Members skipped because they are not live still get heartbeats, so that
# their return is noticed, up to this many per wanted live neighbour.
SKIPPED_PER_NEIGHBOUR = 1


def list_neighbours(
    local_member: Member,
    members: Iterable[Member],
    live: set[str],
    settings: FleetSettings,
) -> list[Member]:
    """Return the members to which `local_member` sends heartbeats.

    `members` are those without evidence of their end, `live` the names of
    the hosts that answer.
    """
    chosen = []
    zones: dict[str, list[Member]] = {}
    for member in members:
        if member.host != local_member.host:
            zones.setdefault(member.zone, []).append(member)
    for zone in sorted(zones):
        if zone == local_member.zone:
            ring = sort_ring(local_member, zones[zone])
            chosen += _select_from_ring(
                ring, live, settings.neighbours_per_zone
            )
            continue
        ring = sorted(
            zones[zone],
            key=lambda m: compute_weight(local_member.host, m.host),
        )
        chosen += _select_from_ring(ring, live, settings.remote_neighbours)
    return chosen


def sort_ring(local_member: Member, members: list[Member]) -> list[Member]:
    """Return the other hosts of a zone in ring order after the local one."""
    start = compute_weight("ring", local_member.host)
    return sorted(
        members,
        key=lambda m: (compute_weight("ring", m.host) - start) % (1 << 64),
    )


def _select_from_ring(
    ring: list[Member], live: set[str], count: int
) -> list[Member]:
    chosen = []
    found = 0
    limit = count * (1 + SKIPPED_PER_NEIGHBOUR)
    for member in ring[:limit]:
        if found == count:
            break
        chosen.append(member)
        found += member.host in live
    return chosen


def list_watchers(
    zone: str, members: Iterable[Member], live: set[str], count: int
) -> list[Member]:
    """Return the members that watch the store for `zone`."""
    eligible = [m for m in members if m.zone == zone and m.host in live]
    eligible.sort(
        key=lambda member: compute_weight(f"watch/{zone}", member.host)
    )
    return eligible[:count]
