"""Plans the drain of a region as moves of each of its routes."""

from radishstile.configuration.document import Configuration, Route
from radishstile.errors import OperatorError


def plan_drain(
    configuration: Configuration, region: str, cap_per_s: float
) -> dict[str, dict]:
    """Return the records of the moves that empty `region`, by name.

    The records are as in the document's `moves`. `cap_per_s` is split by
    slots over routes and targets. Moves out of one region take their shares
    in turn of what remains, so the last one has the share 1. Raises
    `OperatorError` where the region is unknown or a route has no upstreams
    elsewhere.
    """
    if region not in configuration.regions:
        raise OperatorError(f"drain: unknown region {region!r}")
    weights = _weigh_routes(configuration, region)
    records: dict[str, dict] = {}
    for name, weight in weights.items():
        route = configuration.routes[name]
        slots = _list_targets(configuration, route, region)
        route_cap = cap_per_s * weight / sum(weights.values())
        records.update(_plan_route(route, region, slots, route_cap))
    return records


def _weigh_routes(configuration: Configuration, region: str) -> dict[str, int]:
    """Return the slots in `region` of each route that has some there.

    Routes of one group divide its slots evenly.
    """
    weights = {}
    for name, route in sorted(configuration.routes.items()):
        slots = count_slots(configuration, route.group).get(region, 0)
        if slots:
            weights[name] = slots
    return weights


def _list_targets(
    configuration: Configuration, route: Route, region: str
) -> dict[str, int]:
    slots = count_slots(configuration, route.group)
    slots.pop(region, None)
    if not slots:
        raise OperatorError(f"drain: no other region serves {route.name!r}")
    return slots


def count_slots(configuration: Configuration, group: str) -> dict[str, int]:
    """Return the slots of `group` in each region that is not draining."""
    slots: dict[str, int] = {}
    for upstream in configuration.upstreams.values():
        if upstream.group != group or upstream.is_draining:
            continue
        region = configuration.zones[upstream.zone]
        slots[region] = slots.get(region, 0) + upstream.slots
    return dict(sorted(slots.items()))


def _plan_route(
    route: Route, region: str, slots: dict[str, int], cap_per_s: float
) -> dict[str, dict]:
    records = {}
    left = total = sum(slots.values())
    for target, count in slots.items():
        records[f"drain-{region}-{route.name}-{target}"] = {
            "route": route.name,
            "from_region": region,
            "to_region": target,
            "cap_per_s": cap_per_s * count / total,
            "target_share": count / left,
        }
        left -= count
    return records
