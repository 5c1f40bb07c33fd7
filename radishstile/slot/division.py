"""Divides the slots of upstreams among the schedulers of a region."""

import xxhash

from radishstile.upstream.registration import Registration


def divide_slots(
    registrations: list[Registration], share: float, host: str
) -> dict[str, int]:
    """Return the slots of each upstream that a host may grant.

    `share` is the host's part of each service's slots. Upstreams of which less
    than half a slot is due yield one or none, so that together those of a
    service yield what is due, but at least one. Which ones differs by host:
    many hosts with a small share each don't meet at the same upstreams.
    """
    by_service: dict[str, list[Registration]] = {}
    for registration in registrations:
        by_service.setdefault(registration.service, []).append(registration)
    slots: dict[str, int] = {}
    for service_registrations in by_service.values():
        slots |= _divide_service(service_registrations, share, host)
    return slots


def _divide_service(
    registrations: list[Registration], share: float, host: str
) -> dict[str, int]:
    slots = {r.upstream_id: round(r.slots * share) for r in registrations}
    rest = [r for r in registrations if not slots[r.upstream_id]]
    if share <= 0 or not rest:
        return slots
    least = 0 if len(rest) < len(slots) else 1
    count = max(least, round(share * sum(r.slots for r in rest)))
    seed = xxhash.xxh3_64_intdigest(host.encode())
    rest.sort(
        key=lambda r: xxhash.xxh3_64_intdigest(r.upstream_id.encode(), seed)
    )
    for registration in rest[:count]:
        slots[registration.upstream_id] = 1
    return slots
