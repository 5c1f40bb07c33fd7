"""JSON Schema of the configuration document."""

_NAME = {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"}
_KEY_ID = {"type": "string", "pattern": "^[A-Za-z0-9_-]{1,64}$"}
_PORT = {"type": "integer", "minimum": 1, "maximum": 65535}


def _map_schema(value_schema: dict, name_schema: dict = _NAME) -> dict:
    return {
        "type": "object",
        "propertyNames": name_schema,
        "additionalProperties": value_schema,
    }


def _object_schema(required: dict, optional: dict | None = None) -> dict:
    return {
        "type": "object",
        "properties": {**required, **(optional or {})},
        "required": list(required),
        "additionalProperties": False,
    }


_POSITIVE = {"type": "number", "exclusiveMinimum": 0}
_COUNT = {"type": "integer", "minimum": 1}

KEY = _object_schema(
    {"hash": {"type": "string", "pattern": "^[0-9a-f]{64}$"}},
    {"issued_by": {"type": "string"}},
)
WORKSPACE = _object_schema(
    {"rate_per_s": _POSITIVE, "burst": _COUNT},
    {"weight": _POSITIVE, "keys": _map_schema(KEY, _KEY_ID)},
)
ROUTE = _object_schema(
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
UPSTREAM = _object_schema(
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
MOVE = _object_schema(
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
DOCUMENT = _object_schema(
    {},
    {
        "regions": _map_schema(_object_schema({}, {"capacity": _COUNT})),
        "zones": _map_schema(_object_schema({"region": _NAME})),
        "links": {
            "type": "array",
            "items": _object_schema(
                {
                    "from_region": _NAME,
                    "to_region": _NAME,
                    "mbit_per_s": _POSITIVE,
                }
            ),
        },
        "workspaces": _map_schema(WORKSPACE),
        "groups": _map_schema(
            _object_schema({"upstreams": _map_schema(UPSTREAM)})
        ),
        "routes": _map_schema(ROUTE),
        "blocks": {
            "type": "array",
            "items": _object_schema(
                {"client": {"type": "string"}, "region": _NAME}
            ),
        },
        "moves": _map_schema(MOVE),
        "sites": _map_schema(_NAME),
        "block_table": {"type": "string", "pattern": "^[0-9a-f]{32}$"},
    },
)
