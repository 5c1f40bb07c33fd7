"""Apply changes of each kind of stored object to the host's state."""

import logging

from radishstile.entry.logs import log_fields
from radishstile.entry.node import EntryNode, read_clock
from radishstile.errors import ConfigurationError
from radishstile.fleet.hosts import RegisteredHost
from radishstile.platform.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    decode_catalog,
)
from radishstile.platform.mirror import Mirror
from radishstile.platform.registrations import (
    EVACUATION_KIND,
    HOST_KIND,
    UPSTREAM_KIND,
    MalformedEntryError,
    decode_host,
    decode_upstream,
)
from radishstile.platform.stored_objects import (
    Change,
    Listing,
    PlatformObject,
)
from radishstile.upstream.registration import Registration

_LOG = logging.getLogger("radishstile.replica")

# Longest wait of a watch, in seconds. The configuration's is short, as each
# answer confirms that keys are still valid; the others bound how long a dead
# connection stays undetected.
CONFIGURATION_WATCH_S = 0.8
UPSTREAM_WATCH_S = 1.5
EVACUATION_WATCH_S = 3.0
HOST_WATCH_S = 5.0
# Pause after each change of the upstreams, in seconds: batches the many
# changes of a release or the loss of a zone into few calls.
UPSTREAM_PAUSE_S = 0.2
# Pause after listing the hosts and after each change of them, in seconds:
# batches the registrations of a fleet's start, which takes 0.3 s.
HOST_PAUSE_S = 0.3


class ConfigurationSubscriber:
    """Accepts the newest valid configuration."""

    __slots__ = ("_node", "_is_valid")

    kind = CONFIGURATION_KIND
    watch_s = CONFIGURATION_WATCH_S
    change_pause_s = 0.0
    list_pause_s = 0.0

    def __init__(self, node: EntryNode):
        self._node = node
        self._is_valid = True

    def replace(self, listing: Listing) -> None:
        """Apply a listing of all objects of the kind."""
        for stored in listing.objects:
            self._accept(stored)

    def apply(self, change: Change) -> None:
        """Apply a change; a configuration is never removed."""
        if not change.is_removed:
            self._accept(change.object)

    def confirm(self, asked_at: float, mirror: Mirror) -> None:
        """Record that the store had nothing newer at `asked_at`.

        `asked_at` is a time of the boot-time clock, in seconds. A store that
        was restored with an older configuration may lack a newer one than
        that in use, so its answers confirm nothing until it is written again.
        """
        self._node.record_store_answer()
        if self._is_valid and not mirror.list_retained():
            self._node.freshness.confirm_by_store(asked_at)
        self._node.check_initialized()

    def _accept(self, stored: PlatformObject) -> None:
        if stored.name != CONFIGURATION_NAME:
            return
        try:
            catalog = decode_catalog(stored.spec)
        except ConfigurationError as error:
            self._is_valid = False
            _LOG.error(
                "replica: Invalid configuration, keeping the previous one: %s",
                error,
            )
            return
        self._is_valid = True
        known = self._node.catalog
        if known is not None and catalog.version <= known.version:
            return
        self._node.catalog = catalog
        self._node.changed.set()
        _LOG.info(
            "replica: Configuration applied.",
            extra=log_fields(
                version=catalog.version, revision=stored.revision.number
            ),
        )


class UpstreamSubscriber:
    """Applies the registrations of upstreams."""

    __slots__ = ("_node",)

    kind = UPSTREAM_KIND
    watch_s = UPSTREAM_WATCH_S
    change_pause_s = UPSTREAM_PAUSE_S
    list_pause_s = 0.0

    def __init__(self, node: EntryNode):
        self._node = node

    def replace(self, listing: Listing) -> None:
        """Apply all registrations; malformed ones are left out."""
        decoded = [self._decode(stored) for stored in listing.objects]
        self._node.registry.replace_all([r for r in decoded if r])
        _report_own(self._node, self._node.registry.list_own())
        self._node.check_initialized()
        self._node.changed.set()

    def apply(self, change: Change) -> None:
        """Apply a change of a registration."""
        registry = self._node.registry
        registration = None
        if not change.is_removed:
            registration = self._decode(change.object)
        if registration is None:
            registry.remove(change.object.name)
        else:
            registry.add(registration)
            if registry.is_own(registration):
                _report_own(self._node, [registration])
        self._node.changed.set()
        state = registration.readiness.value if registration else "gone"
        _LOG.info(
            "replica: Upstream changed.",
            extra=log_fields(
                upstream=change.object.name,
                state=state,
                revision=change.object.revision.number,
            ),
        )

    def confirm(self, asked_at: float, mirror: Mirror) -> None:
        """Registrations need no confirmation."""

    def _decode(self, stored: PlatformObject):
        try:
            return decode_upstream(stored, self._node.file.zones, read_clock())
        except MalformedEntryError as error:
            self._node.metrics.malformed_entries.inc({"kind": self.kind})
            _LOG.warning("replica: Malformed registration ignored: %s", error)
            return None


class EvacuationSubscriber:
    """Applies the operator's evacuations of zones."""

    __slots__ = ("_node", "_zones")

    kind = EVACUATION_KIND
    watch_s = EVACUATION_WATCH_S
    change_pause_s = 0.0
    list_pause_s = 0.0

    def __init__(self, node: EntryNode):
        self._node = node
        self._zones: set[str] = set()

    def replace(self, listing: Listing) -> None:
        """Apply all evacuations."""
        self._zones = {stored.name for stored in listing.objects}
        self._publish()

    def apply(self, change: Change) -> None:
        """Apply the start or the end of an evacuation."""
        if change.is_removed:
            self._zones.discard(change.object.name)
        else:
            self._zones.add(change.object.name)
        self._publish()
        _LOG.info(
            "replica: Evacuations changed.",
            extra=log_fields(
                zones=sorted(self._zones),
                revision=change.object.revision.number,
            ),
        )

    def confirm(self, asked_at: float, mirror: Mirror) -> None:
        """Evacuations need no confirmation."""

    def _publish(self) -> None:
        self._node.registry.replace_evacuated(frozenset(self._zones))
        self._node.changed.set()


class HostSubscriber:
    """Applies the registrations of entry hosts."""

    __slots__ = ("_node",)

    kind = HOST_KIND
    watch_s = HOST_WATCH_S
    change_pause_s = HOST_PAUSE_S
    list_pause_s = HOST_PAUSE_S

    def __init__(self, node: EntryNode):
        self._node = node

    def replace(self, listing: Listing) -> None:
        """Apply all registered hosts."""
        decoded = [self._decode(stored) for stored in listing.objects]
        self._node.hosts.replace_all(
            [host for host in decoded if host], read_clock()
        )
        self._publish()

    def apply(self, change: Change) -> None:
        """Apply a change of a host."""
        host = None if change.is_removed else self._decode(change.object)
        if host is None:
            self._node.hosts.remove(change.object.name, read_clock())
        else:
            self._node.hosts.put(host)
        self._publish()

    def confirm(self, asked_at: float, mirror: Mirror) -> None:
        """Hosts need no confirmation; heartbeats show which are live."""

    def _publish(self) -> None:
        self._node.changed.set()
        registry = self._node.registry
        known = registry.list_own()
        if not self._node.update_own_endpoints():
            return
        new = [r for r in registry.list_own() if r not in known]
        _report_own(self._node, new)

    def _decode(self, stored: PlatformObject) -> RegisteredHost | None:
        try:
            return decode_host(stored)
        except MalformedEntryError as error:
            self._node.metrics.malformed_entries.inc({"kind": self.kind})
            _LOG.warning("replica: Malformed registration ignored: %s", error)
            return None


def _report_own(node: EntryNode, registrations: list[Registration]) -> None:
    """Count and log entries that name an endpoint of the fleet's hosts."""
    for registration in registrations:
        node.metrics.malformed_entries.inc({"kind": UPSTREAM_KIND})
        _LOG.warning(
            "replica: Upstream at the endpoint of a host ignored.",
            extra=log_fields(
                upstream=registration.upstream_id,
                endpoint=f"{registration.address}:{registration.port}",
            ),
        )


Subscriber = (
    ConfigurationSubscriber
    | UpstreamSubscriber
    | EvacuationSubscriber
    | HostSubscriber
)


SUBSCRIBERS = (
    ConfigurationSubscriber,
    UpstreamSubscriber,
    EvacuationSubscriber,
    HostSubscriber,
)
