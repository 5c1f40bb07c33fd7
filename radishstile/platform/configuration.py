"""Decodes the operator's configuration into a catalog."""

from typing import Any

from radishstile.catalog.catalog import (
    CallerLimits,
    Catalog,
    Route,
    RouteKind,
    Service,
    Split,
    Workspace,
)
from radishstile.errors import ConfigurationError

# Kind and name of the stored object that holds the newest configuration.
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"

# Downloads are idempotent, as other reads are.
_ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "download": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.ONCE,
}
_VERSION_PREFIX = "r"
# For a route without a timeout of its own; longer than any deadline in the
# configured routes.
_DEFAULT_TIMEOUT_S = 60.0


def decode_catalog(document: Any) -> Catalog:
    """Return the catalog of a configuration document.

    Raises `ConfigurationError` for a malformed document.
    """
    try:
        return Catalog(
            _decode_version(document["version"]),
            [_decode_route(*item) for item in document["routes"].items()],
            {
                name: _decode_service(name, values)
                for name, values in document["services"].items()
            },
            {
                name: _decode_workspace(name, values)
                for name, values in document.get("tenants", {}).items()
            },
            _decode_limits(document.get("limits") or {}),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ConfigurationError(
            f"configuration can't be read: {type(error).__name__}: {error}"
        ) from error


def read_version(document: Any) -> int | None:
    """Return the version of a configuration document, None if unreadable."""
    try:
        return _decode_version(document["version"])
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


def _decode_version(text: str) -> int:
    return int(text.removeprefix(_VERSION_PREFIX))


def _decode_route(name: str, values: dict) -> Route:
    return Route(
        name,
        values["hostname"].lower(),
        values["path_prefix"],
        _ROUTE_KINDS.get(values["route_type"], RouteKind.ONCE),
        float(values.get("timeout_s") or _DEFAULT_TIMEOUT_S),
        float(values.get("target_latency_s") or _DEFAULT_TIMEOUT_S),
        int(values.get("priority", 0)),
        _decode_splits(values),
        int(values.get("attempts") or 1),
        bool(values.get("public", False)),
        bool(values.get("session_affinity", False)),
        frozenset(values.get("allowed_regions") or ()),
    )


def _decode_splits(values: dict) -> tuple[Split, ...]:
    backends = values.get("weighted_backends")
    if not backends:
        return (Split(values["service"], 1.0),)
    return tuple(Split(p["service"], float(p["weight"])) for p in backends)


def _decode_service(name: str, values: dict) -> Service:
    return Service(
        name,
        float(values.get("warmup_s") or 0.0),
        float(values.get("warmup_per_s") or 0.0),
    )


def _decode_workspace(name: str, values: dict) -> Workspace:
    priority = values.get("priority")
    return Workspace(
        name,
        frozenset(values.get("api_keys") or ()),
        None if priority is None else int(priority),
        float(values.get("rate_per_s") or 0.0),
        float(values.get("burst") or 0.0),
        frozenset(values.get("allowed_regions") or ()),
    )


def _decode_limits(values: dict) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        int(values.get("max_header_bytes") or defaults.header_bytes),
        int(values.get("max_body_bytes") or defaults.body_bytes),
        float(values.get("header_timeout_s") or defaults.header_s),
        float(values.get("idle_timeout_s") or defaults.idle_s),
    )
