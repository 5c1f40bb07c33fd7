"""Settings of the stand-ins, read from INI files."""

from radishstile.errors import SettingsError
from radishstile.settings import read_settings

_PORT = {"type": "integer", "minimum": 0, "maximum": 65535}
_SECONDS = {"type": "number", "minimum": 0}


def _make_schema(name: str, properties: dict, required: tuple) -> dict:
    section = {
        "type": "object",
        "properties": properties,
        "required": list(required),
        "additionalProperties": False,
    }
    return {
        "type": "object",
        "properties": {name: section},
        "required": [name],
        "additionalProperties": False,
    }


STORE_SCHEMA = _make_schema(
    "store",
    {
        "address": {"type": "string", "default": "127.0.0.1"},
        "port": _PORT,
        "writes_per_s": {"type": "integer", "minimum": 1, "default": 400},
        "reads_per_s": {"type": "integer", "minimum": 1, "default": 2000},
        "delay_s": {**_SECONDS, "default": 0.0},
        "read_lag_s": {**_SECONDS, "default": 0.0},
        "list_lag_s": {**_SECONDS, "default": 0.0},
    },
    ("port",),
)

UPSTREAM_SCHEMA = _make_schema(
    "upstream",
    {
        "names": {"type": "array", "minItems": 1},
        "ports": {"type": "array", "minItems": 1},
        "address": {"type": "string", "default": "127.0.0.1"},
        "slots": {"type": "integer", "minimum": 1, "default": 6},
        "max_queue": {"type": "integer", "minimum": 0, "default": 0},
        "service_s": {**_SECONDS, "default": 0.01},
        "cold_requests": {"type": "integer", "minimum": 0, "default": 0},
        "cold_s": {**_SECONDS, "default": 0.0},
        "cold_factor": {"type": "number", "minimum": 1, "default": 5.0},
        "restart_s": {**_SECONDS, "default": 5.0},
    },
    ("names", "ports"),
)


class StoreSettings:
    """Address, rate limits in calls per second, and initial faults."""

    __slots__ = (
        "address",
        "port",
        "writes_per_s",
        "reads_per_s",
        "delay_s",
        "read_lag_s",
        "list_lag_s",
    )

    def __init__(
        self,
        address: str = "127.0.0.1",
        port: int = 0,
        writes_per_s: int = 400,
        reads_per_s: int = 2000,
        delay_s: float = 0.0,
        read_lag_s: float = 0.0,
        list_lag_s: float = 0.0,
    ):
        self.address = address
        self.port = port
        self.writes_per_s = writes_per_s
        self.reads_per_s = reads_per_s
        self.delay_s = delay_s
        self.read_lag_s = read_lag_s
        self.list_lag_s = list_lag_s


class UpstreamSettings:
    """Name, address, slots and service time of an upstream.

    During its first `cold_requests` requests and its first `cold_s` seconds
    an upstream is cold: its service time is multiplied by `cold_factor`.
    """

    __slots__ = (
        "name",
        "address",
        "port",
        "slots",
        "max_queue",
        "service_s",
        "cold_requests",
        "cold_s",
        "cold_factor",
        "restart_s",
    )

    def __init__(
        self,
        name: str,
        address: str = "127.0.0.1",
        port: int = 0,
        slots: int = 6,
        max_queue: int = 0,
        service_s: float = 0.01,
        cold_requests: int = 0,
        cold_s: float = 0.0,
        cold_factor: float = 5.0,
        restart_s: float = 5.0,
    ):
        self.name = name
        self.address = address
        self.port = port
        self.slots = slots
        self.max_queue = max_queue
        self.service_s = service_s
        self.cold_requests = cold_requests
        self.cold_s = cold_s
        self.cold_factor = cold_factor
        self.restart_s = restart_s


def read_store_settings(path: str) -> StoreSettings:
    """Return the store's settings from the INI file at `path`."""
    return StoreSettings(**read_settings(path, STORE_SCHEMA)["store"])


def read_upstream_settings(path: str) -> list[UpstreamSettings]:
    """Return the settings of each upstream that the INI file names."""
    section = read_settings(path, UPSTREAM_SCHEMA)["upstream"]
    names = section.pop("names")
    ports = section.pop("ports")
    if len(names) != len(ports):
        raise SettingsError(
            f"{path}: [upstream] names and ports differ in number"
        )
    if not all(port.isdecimal() for port in ports):
        raise SettingsError(f"{path}: [upstream] ports are not numbers")
    return [
        UpstreamSettings(name, port=int(port), **section)
        for name, port in zip(names, ports, strict=True)
    ]
