"""JSON Schema of the configuration document."""

_NAME = {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"}
_KEY_ID = {"type": "string", "pattern": "^[A-Za-z0-9_-]{1,64}$"}
_PORT = {"type": "integer", "minimum": 1, "maximum": 65535}


def _map_of(item: dict, name: dict = _NAME) -> dict:
    return {
        "type": "object",
        "propertyNames": name,
        "additionalProperties": item,
    }


def _record(required: dict, optional: dict | None = None) -> dict:
    return {
        "type": "object",
        "properties": {**required, **(optional or {})},
        "required": list(required),
        "additionalProperties": False,
    }


_POSITIVE = {"type": "number", "exclusiveMinimum": 0}
_COUNT = {"type": "integer", "minimum": 1}

KEY = _record(
    {"hash": {"type": "string", "pattern": "^[0-9a-f]{64}$"}},
    {"issued_by": {"type": "string"}},
)
WORKSPACE = _record(
    {"rate_per_s": _POSITIVE, "burst": _COUNT},
    {"weight": _POSITIVE, "keys": _map_of(KEY, _KEY_ID)},
)
ROUTE = _record(
    {
        "path": {"type": "string", "pattern": "^/"},
        "group": _NAME,
    },
    {
        "open": {"type": "boolean"},
        "idempotent": {"type": "boolean"},
        "workspaces": {"type": "array", "items": _NAME},
        "deadline_s": _POSITIVE,
        "body_limit_bytes": {"type": "integer", "minimum": 0},
    },
)
UPSTREAM = _record(
    {
        "zone": _NAME,
        "address": {"type": "string"},
        "port": _PORT,
        "slots": _COUNT,
    },
    {
        "state": {"enum": ["active", "draining"]},
        "slow_start_s": {"type": "number", "minimum": 0},
    },
)
MOVE = _record(
    {
        "route": _NAME,
        "from_region": _NAME,
        "to_region": _NAME,
        "cap_per_s": _POSITIVE,
    },
    {
        "target_share": {"type": "number", "minimum": 0, "maximum": 1},
        "step": {"type": "number", "exclusiveMinimum": 0, "maximum": 1},
        "pace_s": _POSITIVE,
        "paused": {"type": "boolean"},
    },
)
DOCUMENT = _record(
    {},
    {
        "regions": _map_of(_record({}, {"capacity": _COUNT})),
        "zones": _map_of(_record({"region": _NAME})),
        "links": {
            "type": "array",
            "items": _record(
                {
                    "from_region": _NAME,
                    "to_region": _NAME,
                    "mbit_per_s": _POSITIVE,
                }
            ),
        },
        "workspaces": _map_of(WORKSPACE),
        "groups": _map_of(_record({"upstreams": _map_of(UPSTREAM)})),
        "routes": _map_of(ROUTE),
        "blocks": {
            "type": "array",
            "items": _record({"client": {"type": "string"}, "region": _NAME}),
        },
        "moves": _map_of(MOVE),
        "sites": _map_of(_NAME),
        "block_table": {"type": "string", "pattern": "^[0-9a-f]{32}$"},
    },
)
