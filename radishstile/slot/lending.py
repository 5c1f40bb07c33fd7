"""How regions share slots: each keeps what it needs, and lends the rest.

All leads work from the same loads, so they come to about the same plan; the
lender's word decides.
"""

# Part of its slots that a region plans to use; the rest takes up the waves
# of demand between two plans.
PLANNED_USE = 0.75


class RegionLoad:
    """Demand and capacity of one service in one region, in slots.

    `demand` is None until callers came; `weight` stands in for it then.
    """

    __slots__ = ("demand", "capacity", "weight")

    def __init__(self, demand: float | None, capacity: float, weight: float):
        self.demand = demand
        self.capacity = capacity
        self.weight = weight


def plan_needs(loads: dict[str, RegionLoad]) -> dict[str, float]:
    """Return the slots that each region should have for one service.

    Where all demand fits, each gets what it needs; else all get the same
    part of their demand.
    """
    capacity = sum(load.capacity for load in loads.values())
    is_known = all(load.demand is not None for load in loads.values())
    if is_known:
        claims = {name: load.demand for name, load in loads.items()}
    else:
        claims = {name: load.weight for name, load in loads.items()}
    total = sum(claims.values())
    if total <= 0:
        return {name: 0.0 for name in loads}
    fair = {name: capacity * claim / total for name, claim in claims.items()}
    if not is_known:
        return fair
    return {
        name: min(fair[name], loads[name].demand / PLANNED_USE)
        for name in loads
    }


def plan_loan(
    loads: dict[str, RegionLoad], lender: str, borrower: str
) -> float:
    """Return the slots that `lender` should lend to `borrower`."""
    needs = plan_needs(loads)
    spare = {
        name: max(0.0, load.capacity - needs[name])
        for name, load in loads.items()
    }
    lacking = {
        name: max(0.0, needs[name] - load.capacity)
        for name, load in loads.items()
    }
    all_spare = sum(spare.values())
    all_lacking = sum(lacking.values())
    if all_spare <= 0 or all_lacking <= 0:
        return 0.0
    moved = min(all_spare, all_lacking)
    return moved * spare[lender] / all_spare * lacking[borrower] / all_lacking


def step_towards(current: float, target: float, limit: float) -> float:
    """Return the next value on the way to `target`, by `limit` at most."""
    return current + max(-limit, min(limit, target - current))
