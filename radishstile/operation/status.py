"""The state of the fleet as known by one host, for operators."""

from radishstile.daemon.components import Components


def describe_status(parts: Components, now: float) -> dict:
    """Return the state of the fleet as a JSON object."""
    node = parts.node
    fleet = node.fleet
    reason = fleet.find_outdated_reason(now)
    return {
        "host": node.local_member.host,
        "configuration_version": node.revision.version,
        "roster_version": fleet.roster.version,
        "current": "current" if reason is None else f"not current: {reason}",
        "joined": fleet.has_joined(now),
        "members": _describe_members(parts),
        "homes": {
            name: entry.host for name, entry in fleet.roster.owners.items()
        },
        "headroom": measure_headroom(parts, now),
        "block_table": {
            "digest": parts.blocks.digest,
            "intervals": parts.steering.count_intervals(),
        },
        "moves": [
            {
                "name": published.progress.name,
                "state": published.progress.state,
                "share": published.progress.share,
                "reason": published.progress.reason,
            }
            for published in parts.steering.list_progress()
        ],
    }


def measure_headroom(parts: Components, now: float) -> dict[str, int]:
    """Return the free slots of each region, from the latest hints."""
    node = parts.node
    headroom: dict[str, int] = {}
    for group in node.configuration.groups:
        for zone in node.list_zones(group):
            hint = parts.target_selector.find_hint(group, zone, now)
            region = node.find_region(zone)
            free = 0 if hint is None else hint.free
            headroom[region] = headroom.get(region, 0) + free
    return headroom


def _describe_members(parts: Components) -> list[dict]:
    fleet = parts.node.fleet
    versions = parts.peers.list_configuration_versions()
    versions[fleet.local_member.host] = parts.node.revision.version
    rows = [
        {
            "host": known.member.host,
            "zone": known.member.zone,
            "state": known.state.name.lower(),
            "configuration_version": versions.get(known.member.host),
        }
        for known in fleet.directory.list_present()
    ]
    rows.append(
        {
            "host": fleet.local_member.host,
            "zone": fleet.local_member.zone,
            "state": "leaving" if fleet.is_leaving else "live",
            "configuration_version": parts.node.revision.version,
        }
    )
    return sorted(rows, key=lambda row: row["host"])
