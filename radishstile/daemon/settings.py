"""Settings of the daemon, read from an INI file."""

import inspect

from radishstile.errors import SettingsError
from radishstile.fleet.settings import FleetSettings
from radishstile.lookup.settings import LookupSettings
from radishstile.platform.settings import PlatformSettings
from radishstile.run.settings import RunSettings
from radishstile.settings import read_settings
from radishstile.shift.settings import MoveSettings
from radishstile.upstream.settings import UpstreamSettings
from radishstile.wire.settings import WireSettings
from radishstile.workspace.settings import AdmissionSettings

_JSON_TYPES = {bool: "boolean", int: "integer", float: "number", str: "string"}
_PORT = {"type": "integer", "minimum": 1, "maximum": 65535}
_NAME = {
    "type": "string",
    "pattern": "^[a-z0-9][a-z0-9-]{0,62}$",
    "description": "lower-case letters, digits and hyphens",
}


class HostSettings:
    """Identity and listening addresses of this host.

    `seeds` are peers to fetch versions from at start, as
    `NAME@ADDRESS:PORT`; ports are TCP ports on `address`.
    """

    __slots__ = (
        "name",
        "zone",
        "region",
        "address",
        "peer_port",
        "http_port",
        "operator_port",
        "seeds",
    )

    def __init__(
        self,
        name: str,
        zone: str,
        region: str,
        address: str,
        peer_port: int,
        http_port: int,
        operator_port: int,
        seeds: list[str],
    ):
        self.name = name
        self.zone = zone
        self.region = region
        self.address = address
        self.peer_port = peer_port
        self.http_port = http_port
        self.operator_port = operator_port
        self.seeds = seeds


class LogSettings:
    """Logging: `format` is `human` or `json`."""

    __slots__ = ("format", "level")

    def __init__(self, format: str = "human", level: str = "INFO"):
        self.format = format
        self.level = level


class TraceSettings:
    """Span export: `exporter` is `none`, `console` or `otlp`.

    `kept` is the number of ended spans kept in memory for the `trace`
    command.
    """

    __slots__ = ("exporter", "endpoint", "kept")

    def __init__(
        self,
        exporter: str = "none",
        endpoint: str = "http://127.0.0.1:4318/v1/traces",
        kept: int = 2000,
    ):
        self.exporter = exporter
        self.endpoint = endpoint
        self.kept = kept


class HttpSettings:
    """Limits on callers' requests: sizes in bytes, times in seconds."""

    __slots__ = (
        "header_limit_bytes",
        "body_timeout_s",
        "idle_timeout_s",
        "held_answer_bytes",
        "stop_timeout_s",
    )

    def __init__(
        self,
        header_limit_bytes: int = 16_384,
        body_timeout_s: float = 10.0,
        idle_timeout_s: float = 75.0,
        held_answer_bytes: int = 65_536,
        stop_timeout_s: float = 60.0,
    ):
        self.header_limit_bytes = header_limit_bytes
        self.body_timeout_s = body_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.held_answer_bytes = held_answer_bytes
        self.stop_timeout_s = stop_timeout_s


# Sections whose schema is derived from the parameters of a class.
_SECTION_TYPES = {
    "fleet": FleetSettings,
    "wire": WireSettings,
    "platform": PlatformSettings,
    "limits": AdmissionSettings,
    "lookup": LookupSettings,
    "runs": RunSettings,
    "upstreams": UpstreamSettings,
    "moves": MoveSettings,
    "http": HttpSettings,
    "logging": LogSettings,
    "tracing": TraceSettings,
}
_CHOICES = {
    ("logging", "format"): ["human", "json"],
    ("logging", "level"): ["DEBUG", "INFO", "WARNING", "ERROR"],
    ("tracing", "exporter"): ["none", "console", "otlp"],
}


class DaemonSettings:
    """All settings of one daemon; `operators` maps a name to a token hash."""

    __slots__ = ("host", "operators", *_SECTION_TYPES)

    def __init__(self, sections: dict[str, dict]):
        self.host = HostSettings(**sections["host"])
        self.operators = sections.get("operators", {})
        for name, kind in _SECTION_TYPES.items():
            setattr(self, name, kind(**sections.get(name, {})))


def read_daemon_settings(path: str) -> DaemonSettings:
    """Return the daemon's settings; raises `SettingsError` with one line."""
    sections = read_settings(path, make_schema())
    for seed in sections["host"]["seeds"]:
        try:
            parse_seed(seed)
        except SettingsError as error:
            raise SettingsError(f"{path}: {error}") from error
    return DaemonSettings(sections)


def parse_seed(text: str) -> tuple[str, str, int]:
    """Return the host, address and port of `NAME@ADDRESS:PORT`."""
    host, _, endpoint = text.partition("@")
    address, _, port = endpoint.rpartition(":")
    is_port = port.isdecimal() and 0 < int(port) <= _PORT["maximum"]
    if not (host and address and is_port):
        raise SettingsError(f"[host] seeds: {text!r} is not NAME@ADDRESS:PORT")
    return host, address, int(port)


def make_schema() -> dict:
    """Return the JSON Schema of the settings file."""
    properties = {"host": _make_host_schema(), "operators": _OPERATORS}
    for section, kind in _SECTION_TYPES.items():
        properties[section] = _make_section_schema(section, kind)
    return {
        "type": "object",
        "properties": properties,
        "required": ["host", "platform", "wire"],
        "additionalProperties": False,
    }


_OPERATORS = {
    "type": "object",
    "additionalProperties": {
        "type": "string",
        "pattern": "^[0-9a-f]{64}$",
        "description": "the SHA-256 of the operator's token, in hexadecimal",
        "writeOnly": True,
    },
}


def _make_host_schema() -> dict:
    return {
        "type": "object",
        "properties": {
            "name": _NAME,
            "zone": _NAME,
            "region": _NAME,
            "address": {"type": "string", "minLength": 1},
            "peer_port": _PORT,
            "http_port": _PORT,
            "operator_port": _PORT,
            "seeds": {"type": "array", "default": []},
        },
        "required": [
            "name",
            "zone",
            "region",
            "address",
            "peer_port",
            "http_port",
            "operator_port",
        ],
        "additionalProperties": False,
    }


def _make_section_schema(section: str, kind: type) -> dict:
    properties = {}
    required = []
    for name, parameter in inspect.signature(kind).parameters.items():
        properties[name] = _make_value_schema(section, name, parameter)
        if parameter.default is inspect.Parameter.empty:
            required.append(name)
    return {
        "type": "object",
        "properties": properties,
        "required": required,
        "additionalProperties": False,
    }


def _make_value_schema(section: str, name: str, parameter) -> dict:
    kind = parameter.annotation
    if kind is inspect.Parameter.empty:
        kind = type(parameter.default)
    schema = {"type": _JSON_TYPES.get(kind, "string")}
    if kind in (int, float):
        schema["minimum"] = 0
    if kind is str and parameter.default is inspect.Parameter.empty:
        schema["minLength"] = 1
    if (section, name) in _CHOICES:
        schema["enum"] = _CHOICES[section, name]
    return schema
