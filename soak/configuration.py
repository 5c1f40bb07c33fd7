"""Initial configuration of a soak test, in the platform's format."""

from soak.record import SoakRecord

# One workspace has no rate limit, the other has one.
UNLIMITED_WORKSPACE = "bureau"
LIMITED_WORKSPACE = "employer"
RATE_PER_S = 15
BURST = 15
# Keys that faults may revoke.
REVOCABLE_KEY_COUNT = 6
HOSTNAME = "press.example"
READ_PATH = "/read/"
NON_IDEMPOTENT_PATH = "/order/"
# Non-idempotent requests take precedence over reads.
READ_PRIORITY = 2
NON_IDEMPOTENT_PRIORITY = 1


def make_configuration(record: SoakRecord) -> dict:
    """Return the configuration, and add its keys to `record`."""
    revocable = [
        f"key-spare-{number}" for number in range(REVOCABLE_KEY_COUNT)
    ]
    keys = {
        UNLIMITED_WORKSPACE: ["key-free", *revocable],
        LIMITED_WORKSPACE: ["key-limited"],
    }
    for workspace, workspace_keys in keys.items():
        for key in workspace_keys:
            record.key_workspaces[key] = workspace
    return {
        "version": "r1",
        "routes": {
            "read": _make_route(READ_PATH, "safe", READ_PRIORITY),
            "order": _make_route(
                NON_IDEMPOTENT_PATH, "unsafe", NON_IDEMPOTENT_PRIORITY
            ),
        },
        "services": {"press": {"warmup_s": 0.0, "warmup_per_s": 100.0}},
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "tenants": {
            UNLIMITED_WORKSPACE: _make_workspace(
                keys[UNLIMITED_WORKSPACE], 0, 0
            ),
            LIMITED_WORKSPACE: _make_workspace(
                keys[LIMITED_WORKSPACE], RATE_PER_S, BURST
            ),
        },
    }


def make_added_route(prefix: str) -> dict:
    """Return a route that a fault adds to the configuration."""
    return _make_route(prefix, "safe", READ_PRIORITY)


def _make_route(prefix: str, kind: str, priority: int) -> dict:
    return {
        "hostname": HOSTNAME,
        "path_prefix": prefix,
        "route_type": kind,
        "priority": priority,
        "service": "press",
        "timeout_s": 1.8,
        "target_latency_s": 0.5,
        "attempts": 2,
        "public": False,
        "session_affinity": True,
    }


def _make_workspace(keys: list[str], rate_per_s: int, burst: int) -> dict:
    return {
        "api_keys": keys,
        "priority": 1,
        "rate_per_s": rate_per_s,
        "burst": burst,
    }
