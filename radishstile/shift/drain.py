"""Plans the drain of a region as one set of moves for each route."""

from collections.abc import Mapping

import xxhash

from radishstile.configuration.document import Configuration, Route
from radishstile.errors import OperatorError

MAX_NAME_LENGTH = 63
_DIGEST_LENGTH = 8
_SLOTS_FRACTION = 0.1


def plan_drain(
    configuration: Configuration,
    region: str,
    cap_per_s: float,
    loads: Mapping[str, float] | None = None,
) -> dict[str, dict]:
    """Return the records of the moves that empty `region`, by name.

    The records have the format of the document's `moves`. `cap_per_s` is
    split over routes by `loads`, which maps a route to its requests a second,
    or by slots if no load is known, and over a route's targets by slots. A
    tenth of it is always split by slots, for routes that get load later. The
    moves of a route apply in turn to the remaining blocks, so the last one
    has the share 1. Raises `OperatorError` if the region is unknown or a
    route has no upstreams in another region.
    """
    if region not in configuration.regions:
        raise OperatorError(f"drain: unknown region {region!r}")
    weights = _weigh_routes(configuration, region, loads or {})
    records: dict[str, dict] = {}
    for name, weight in weights.items():
        route = configuration.routes[name]
        slots = _list_targets(configuration, route, region)
        route_cap = cap_per_s * weight / sum(weights.values())
        records.update(_plan_route(route, region, slots, route_cap))
    return records


def _weigh_routes(
    configuration: Configuration, region: str, loads: Mapping[str, float]
) -> dict[str, float]:
    """Return the weight of each route that has slots in `region`."""
    slots = _count_route_slots(configuration, region)
    total = sum(loads.get(name, 0.0) for name in slots)
    if total <= 0:
        return slots
    all_slots = sum(slots.values())
    return {
        name: (1 - _SLOTS_FRACTION) * loads.get(name, 0.0) / total
        + _SLOTS_FRACTION * count / all_slots
        for name, count in slots.items()
    }


def _count_route_slots(
    configuration: Configuration, region: str
) -> dict[str, float]:
    """Return the slots in `region` of each route that has some there."""
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
        raise OperatorError(
            f"drain: no other region serves route {route.name!r}"
        )
    return slots


def count_slots(configuration: Configuration, group: str) -> dict[str, int]:
    """Return the slots of `group` by region, without draining upstreams."""
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
    remaining = total = sum(slots.values())
    for target, count in slots.items():
        records[_make_move_name(region, route.name, target)] = {
            "route": route.name,
            "from_region": region,
            "to_region": target,
            "cap_per_s": cap_per_s * count / total,
            "target_share": count / remaining,
        }
        remaining -= count
    return records


def _make_move_name(region: str, route: str, target: str) -> str:
    """Return a name that is the same each time and not too long."""
    name = f"drain-{region}-{route}-{target}"
    if len(name) <= MAX_NAME_LENGTH:
        return name
    digest = xxhash.xxh3_64_hexdigest(name.encode())[:_DIGEST_LENGTH]
    return f"{name[: MAX_NAME_LENGTH - _DIGEST_LENGTH - 1]}-{digest}"
