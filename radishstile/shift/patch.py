"""Checks a new configuration against the currently moved load."""

from collections.abc import Mapping

from radishstile.configuration.document import Configuration
from radishstile.errors import ConfigurationError


def check_patch(
    old: Configuration, new: Configuration, moved_loads: Mapping[str, float]
) -> None:
    """Reject a cap below a move's moved load, and deletion of such a move.

    The traffic of a deleted move returns at once and not in steps.
    `moved_loads` maps a move's name to its moved load in requests a second.
    Raises `ConfigurationError`.
    """
    for name, move in old.moves.items():
        is_allowed = name in new.moves or move.target_share == 0
        if not is_allowed and moved_loads.get(name, 0.0) > 0:
            raise ConfigurationError(
                f"moves/{name}: {moved_loads[name]:g} requests/s would return "
                f"at once; lower target_share to 0 first"
            )
    for name, move in new.moves.items():
        before = old.moves.get(name)
        if before is None or move.cap_per_s >= before.cap_per_s:
            continue
        moved_per_s = moved_loads.get(name, 0.0)
        if move.cap_per_s < moved_per_s:
            raise ConfigurationError(
                f"moves/{name}: cap_per_s {move.cap_per_s:g} is below the "
                f"{moved_per_s:g} requests/s that move now; lower "
                f"target_share first"
            )
