"""Plans slot loans: each region keeps what it needs and lends the rest.

All leaders plan from the same loads and reach about the same plan. Where plans
differ, the lender's applies to what a loan may grow to; a borrower returns
what it has in limited steps.
"""

# Fraction of its slots that a region plans to use; the rest absorbs changes
# of demand between two plans.
TARGET_UTILIZATION = 0.75


class RegionLoad:
    """Demand and capacity of one service in one region, in slots.

    `demand` is None until the first claim; `weight` replaces it until then.
    """

    __slots__ = ("demand", "capacity", "weight")

    def __init__(self, demand: float | None, capacity: float, weight: float):
        self.demand = demand
        self.capacity = capacity
        self.weight = weight


def is_short(loads: dict[str, RegionLoad]) -> bool:
    """Return whether demand exceeds what all regions plan to use."""
    if any(load.demand is None for load in loads.values()):
        return False
    demand = sum(load.demand for load in loads.values())
    capacity = sum(load.capacity for load in loads.values())
    return demand > TARGET_UTILIZATION * capacity


def plan_needs(loads: dict[str, RegionLoad]) -> dict[str, float]:
    """Return the slots that each region should have for one service.

    If capacity suffices, each region gets what it needs, otherwise the same
    fraction of its demand.
    """
    capacity = sum(load.capacity for load in loads.values())
    is_demand_known = all(load.demand is not None for load in loads.values())
    if is_demand_known:
        demands = {name: load.demand for name, load in loads.items()}
    else:
        demands = {name: load.weight for name, load in loads.items()}
    total = sum(demands.values())
    if total <= 0:
        return {name: 0.0 for name in loads}
    fair_shares = {
        name: capacity * slots / total for name, slots in demands.items()
    }
    if not is_demand_known:
        return fair_shares
    return {
        name: min(fair_shares[name], loads[name].demand / TARGET_UTILIZATION)
        for name in loads
    }


def plan_loan(
    loads: dict[str, RegionLoad], lender: str, borrower: str
) -> float:
    """Return the slots that `lender` should lend to `borrower`."""
    needs = plan_needs(loads)
    surplus = {
        name: max(0.0, load.capacity - needs[name])
        for name, load in loads.items()
    }
    shortfall = {
        name: max(0.0, needs[name] - load.capacity)
        for name, load in loads.items()
    }
    total_surplus = sum(surplus.values())
    total_shortfall = sum(shortfall.values())
    if total_surplus <= 0 or total_shortfall <= 0:
        return 0.0
    moved = min(total_surplus, total_shortfall)
    return (
        moved
        * surplus[lender]
        / total_surplus
        * shortfall[borrower]
        / total_shortfall
    )
