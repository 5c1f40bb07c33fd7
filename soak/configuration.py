"""The first configuration of a run, as the operator writes it."""

from soak.record import Record

# Workspaces: one without a limit, one that is held to its rate.
FREE = "bureau"
LIMITED = "employer"
RATE_PER_S = 15
BURST = 15
# Keys that a run may withdraw.
SPARE_KEYS = 6
HOSTNAME = "press.example"
READ_PATH = "/read/"
ORDER_PATH = "/order/"
# Rank of the two kinds of request; reads give way to orders.
READ_PRIORITY = 2
ORDER_PRIORITY = 1


def make_configuration(record: Record) -> dict:
    """Return the configuration, and note its keys in `record`."""
    spare = [f"key-spare-{number}" for number in range(SPARE_KEYS)]
    keys = {FREE: ["key-free", *spare], LIMITED: ["key-limited"]}
    for workspace, held in keys.items():
        for key in held:
            record.keys[key] = workspace
    return {
        "version": "r1",
        "routes": {
            "read": _make_route(READ_PATH, "safe", READ_PRIORITY),
            "order": _make_route(ORDER_PATH, "unsafe", ORDER_PRIORITY),
        },
        "services": {"press": {"warmup_s": 0.0, "warmup_per_s": 100.0}},
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "tenants": {
            FREE: _make_workspace(keys[FREE], 0, 0),
            LIMITED: _make_workspace(keys[LIMITED], RATE_PER_S, BURST),
        },
    }


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
