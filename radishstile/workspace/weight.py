"""Weights of the workspaces that share slots."""

import math

from radishstile.catalog.catalog import Workspace

# Bounds of a weight: beyond them a workspace would wait for minutes, or a rate
# that is out of proportion would leave nothing to the others.
MIN_WEIGHT = 0.01
MAX_WEIGHT = 100.0


def weigh_workspaces(workspaces: dict[str, Workspace]) -> dict[str, float]:
    """Return weights in proportion to the contracted rates, on average 1.

    Workspaces without a contracted rate are left out.
    """
    rates = {
        name: workspace.rate_per_s
        for name, workspace in workspaces.items()
        if 0 < workspace.rate_per_s < math.inf
    }
    if not rates:
        return {}
    mean = sum(rates.values()) / len(rates)
    return {
        name: min(max(rate / mean, MIN_WEIGHT), MAX_WEIGHT)
        for name, rate in rates.items()
    }
