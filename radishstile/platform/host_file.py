"""Decodes the settings file that the platform places on each host."""

import os
import resource
from typing import Any

import yaml

from radishstile.errors import SettingsError

# Environment variable that holds the path of the file; set by the platform.
PATH_VARIABLE = "RADISHSTILE_SETTINGS"
# The contract of deployments whose callers compete for too few slots.
_SHARED_SLOTS = "pressure"
# Descriptors where neither the file nor the system limits them.
_UNLIMITED_FDS = 65_536


class Endpoint:
    """An IP address and a TCP port."""

    __slots__ = ("address", "port")

    def __init__(self, address: str, port: int):
        self.address = address
        self.port = port

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class Bounds:
    """Service bounds that the platform requires of the fleet.

    Times are in seconds. A bound that the file lacks is not enforced by the
    platform, and gets the platform's documented default.
    """

    __slots__ = (
        "contact_s",
        "drain_s",
        "grace_s",
        "config_apply_s",
        "withdrawal_s",
        "retry_ratio",
        "retry_window_s",
        "retry_extra",
        "evacuate_s",
        "ttl_max_s",
        "quota_slack",
    )

    # Attribute, key in the file and default.
    _FIELDS = (
        ("contact_s", "contact_s", 4.0),
        ("drain_s", "drain_s", 2.5),
        ("grace_s", "grace_s", 6.0),
        ("config_apply_s", "config_apply_s", 2.5),
        ("withdrawal_s", "revoke_s", 5.0),
        ("retry_ratio", "retry_budget_ratio", 0.2),
        ("retry_window_s", "budget_window_s", 10.0),
        ("retry_extra", "retry_budget_extra", 100.0),
        ("evacuate_s", "evacuate_s", 5.0),
        ("ttl_max_s", "ttl_max_s", 5.0),
        ("quota_slack", "quota_slack", 0.0),
    )

    def __init__(self, table: "_Table"):
        for name, key, default in self._FIELDS:
            setattr(self, name, table.get_number(key, default))


class HostFile:
    """Identity of this host, its listening addresses and the store's.

    `callers`, `readiness` and `directory` are the addresses that the platform
    connects to; `peer_port` is for traffic between hosts. `zones` maps each
    zone to its region. `shares_slots` is whether the platform asks for fair
    shares of the slots, as callers may need more than there are.
    """

    __slots__ = (
        "host",
        "address",
        "zone",
        "region",
        "cores",
        "memory_mb",
        "max_fds",
        "callers",
        "readiness",
        "directory",
        "peer_port",
        "zones",
        "store",
        "heartbeat_s",
        "is_first_start",
        "bounds",
        "shares_slots",
    )

    def __init__(self, document: dict):
        root = _Table("", document)
        identity = root.get_table("self")
        limits = identity.get_table("limits")
        network = root.get_table("network")
        listen = network.get_table("listen")
        platform = root.get_table("platform")
        self.host = identity.get_text("node")
        self.address = identity.get_text("ip")
        self.zone = identity.get_text("zone")
        self.region = identity.get_text("region")
        # Set by the platform during the first start of the whole system.
        self.is_first_start = identity.get_flag("bootstrap")
        # `cpu_share` applies to each core.
        share = limits.get_number("cpu_share", 1.0)
        self.cores = share * limits.get_number("cores", 1.0)
        self.memory_mb = limits.get_number("memory_mb", 256.0)
        # The limit of the process counts where the file states none.
        self.max_fds = int(limits.get_number("max_fds", _read_max_fds()))
        self.callers = listen.get_endpoint("front")
        self.readiness = listen.get_endpoint("ready")
        self.directory = listen.get_endpoint("directory")
        self.peer_port = network.get_port_range("internal_ports")[0]
        self.zones = network.get_texts("zones")
        self.store = platform.get_table("platform").get_endpoint("address")
        self.heartbeat_s = platform.get_number("heartbeat_s", 1.5)
        terms = root.get_table("terms")
        self.bounds = Bounds(terms.get_table("bounds"))
        self.shares_slots = _SHARED_SLOTS in terms.get_list("contracts")


class _Table:
    """A table of the file; errors name the path of the wrong key."""

    __slots__ = ("_path", "_values")

    def __init__(self, path: str, values: Any):
        if type(values) is not dict:
            raise SettingsError(f"{path or 'file'}: expected a table")
        self._path = path
        self._values = values

    def get_table(self, name: str) -> "_Table":
        return _Table(self._join(name), self._values.get(name, {}))

    def get_text(self, name: str) -> str:
        value = self._values.get(name)
        if type(value) is not str or not value:
            raise self._make_error(name, "a non-empty string")
        return value

    def get_number(self, name: str, default: float) -> float:
        value = self._values.get(name)
        if value is None:
            return default
        if type(value) not in (int, float) or not value >= 0:
            raise self._make_error(name, "a number of 0 or more")
        return float(value)

    def get_flag(self, name: str) -> bool:
        value = self._values.get(name)
        if value is not None and type(value) is not bool:
            raise self._make_error(name, "true or false")
        return bool(value)

    def get_endpoint(self, name: str) -> Endpoint:
        text = self.get_text(name)
        address, _, port = text.rpartition(":")
        if not address or not port.isdecimal() or not 0 < int(port) < 65536:
            raise self._make_error(name, "ADDRESS:PORT")
        return Endpoint(address, int(port))

    def get_port_range(self, name: str) -> list[int]:
        ports = self._values.get(name)
        is_list = type(ports) is list and len(ports) == 2
        if not is_list or any(type(port) is not int for port in ports):
            raise self._make_error(name, "the first and the last port")
        return ports

    def get_list(self, name: str) -> list:
        values = self._values.get(name, [])
        if type(values) is not list:
            raise self._make_error(name, "a list")
        return values

    def get_texts(self, name: str) -> dict[str, str]:
        table = self.get_table(name)
        return {key: table.get_text(key) for key in table._values}

    def _join(self, name: str) -> str:
        return f"{self._path}.{name}" if self._path else name

    def _make_error(self, name: str, expected: str) -> SettingsError:
        found = self._values.get(name)
        return SettingsError(
            f"{self._join(name)}: expected {expected}, found {found!r}"
        )


def _read_max_fds() -> float:
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return _UNLIMITED_FDS if limit == resource.RLIM_INFINITY else limit


def find_host_file() -> str:
    """Return the path of the settings file; raises `SettingsError`."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"{PATH_VARIABLE} is not set")
    return path


def read_host_file(path: str) -> HostFile:
    """Return the decoded file; raises a one-line `SettingsError`."""
    try:
        with open(path, encoding="utf-8") as file:
            document = yaml.load(file, Loader=_LOADER)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: can't be read: {error}") from error
    except yaml.YAMLError as error:
        line = " ".join(str(error).split())
        raise SettingsError(f"{path}: not valid YAML: {line}") from error
    try:
        return HostFile(document)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error}") from error


# The C loader parses faster; it is missing if PyYAML lacks libyaml.
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
