"""Faults and planned changes, and how each is started and ended."""

import signal
from functools import singledispatch

from soak.fleet import Fleet
from soak.hosts import Host
from soak.proxy import ConnectionFault
from standin.object_store import FailureMode

# Factor on the duration of requests at a slow upstream.
SLOWDOWN_FACTOR = 8.0
# Pause that an upstream asks for, in seconds.
PAUSE_S = 2.0


class Fault:
    """A fault or a planned change that affects `subject` for a time.

    Class names are the fault kinds in the output of the soak test.
    """

    __slots__ = ("subject", "duration_s")

    is_planned = False

    def __init__(self, subject: str, duration_s: float):
        self.subject = subject
        self.duration_s = duration_s


class HostKilled(Fault):
    """SIGKILL of a host process, which is then restarted."""

    __slots__ = ()


class AllKilled(Fault):
    """SIGKILL of all host processes at once."""

    __slots__ = ()


class HostPaused(Fault):
    """SIGSTOP of a host process, followed by SIGCONT."""

    __slots__ = ()


class HostStopped(Fault):
    """Graceful stop (SIGTERM) of a host process, which is then restarted."""

    __slots__ = ()

    is_planned = True


class HostReloaded(Fault):
    """Reload of a host's settings (SIGHUP)."""

    __slots__ = ()

    is_planned = True


class StoreCut(Fault):
    """Connection fault between one host and the store."""

    __slots__ = ("connection_fault",)

    def __init__(
        self,
        subject: str,
        duration_s: float,
        connection_fault: ConnectionFault,
    ):
        super().__init__(subject, duration_s)
        self.connection_fault = connection_fault


class StoreTroubled(Fault):
    """Failure of the store for all hosts."""

    __slots__ = ("failure_mode",)

    def __init__(
        self, subject: str, duration_s: float, failure_mode: FailureMode
    ):
        super().__init__(subject, duration_s)
        self.failure_mode = failure_mode


class HistoryForgotten(Fault):
    """Loss of the change history in the store."""

    __slots__ = ()


class StoreRestored(Fault):
    """Absence of the store, which is then restored from a backup.

    `backup_age_s` is the backup's age at the start of the absence, in seconds.
    """

    __slots__ = ("backup_age_s",)

    def __init__(self, subject: str, duration_s: float, backup_age_s: float):
        super().__init__(subject, duration_s)
        self.backup_age_s = backup_age_s


class UpstreamCrashed(Fault):
    """Crash of an upstream, which restarts under the same id."""

    __slots__ = ()


class UpstreamSlowed(Fault):
    """Slow processing at an upstream."""

    __slots__ = ()


class UpstreamPaused(Fault):
    """Refusal of all requests by an upstream, which asks for pauses."""

    __slots__ = ()


class UpstreamLeaves(Fault):
    """Drain of an upstream, which a new one replaces."""

    __slots__ = ()

    is_planned = True


class UpstreamWithdrawn(Fault):
    """Leave of an upstream whose answers alone tell of it."""

    __slots__ = ()

    is_planned = True


class ZoneEvacuated(Fault):
    """Evacuation of a zone by the operator."""

    __slots__ = ()

    is_planned = True


class LinkHarmed(Fault):
    """Connection fault between all hosts and an upstream."""

    __slots__ = ("connection_fault",)

    def __init__(
        self,
        subject: str,
        duration_s: float,
        connection_fault: ConnectionFault,
    ):
        super().__init__(subject, duration_s)
        self.connection_fault = connection_fault


class KeyWithdrawn(Fault):
    """Revocation of an API key."""

    __slots__ = ()

    is_planned = True


class RouteAdded(Fault):
    """New configuration version with a route that callers then use."""

    __slots__ = ()

    is_planned = True


class ConfigurationChanged(Fault):
    """New configuration version without a change for callers."""

    __slots__ = ()

    is_planned = True


def _find_host(fleet: Fleet, name: str) -> Host:
    return next(host for host in fleet.hosts if host.name == name)


@singledispatch
async def begin_fault(fault: Fault, fleet: Fleet) -> None:
    """Start a fault."""
    raise TypeError(type(fault).__name__)


@begin_fault.register
async def _(fault: HostKilled, fleet: Fleet) -> None:
    _find_host(fleet, fault.subject).send_signal(signal.SIGKILL)


@begin_fault.register
async def _(fault: AllKilled, fleet: Fleet) -> None:
    for host in fleet.hosts:
        host.send_signal(signal.SIGKILL)


@begin_fault.register
async def _(fault: HostPaused, fleet: Fleet) -> None:
    _find_host(fleet, fault.subject).send_signal(signal.SIGSTOP)


@begin_fault.register
async def _(fault: HostStopped, fleet: Fleet) -> None:
    _find_host(fleet, fault.subject).send_signal(signal.SIGTERM)


@begin_fault.register
async def _(fault: HostReloaded, fleet: Fleet) -> None:
    _find_host(fleet, fault.subject).send_signal(signal.SIGHUP)


@begin_fault.register
async def _(fault: StoreCut, fleet: Fleet) -> None:
    _find_host(fleet, fault.subject).store_proxy.set_fault(
        fault.connection_fault
    )


@begin_fault.register
async def _(fault: StoreTroubled, fleet: Fleet) -> None:
    fleet.store.failure_mode = fault.failure_mode


@begin_fault.register
async def _(fault: HistoryForgotten, fleet: Fleet) -> None:
    fleet.store.drop_history()


@begin_fault.register
async def _(fault: StoreRestored, fleet: Fleet) -> None:
    fleet.take_store_away()


@begin_fault.register
async def _(fault: UpstreamCrashed, fleet: Fleet) -> None:
    if fault.subject in fleet.upstreams:
        await fleet.crash_upstream(fault.subject)


@begin_fault.register
async def _(fault: UpstreamSlowed, fleet: Fleet) -> None:
    if fault.subject in fleet.upstreams:
        fleet.upstreams[fault.subject].slowdown_factor = SLOWDOWN_FACTOR


@begin_fault.register
async def _(fault: UpstreamPaused, fleet: Fleet) -> None:
    if fault.subject in fleet.upstreams:
        fleet.upstreams[fault.subject].pause_s = PAUSE_S


@begin_fault.register
async def _(fault: UpstreamLeaves, fleet: Fleet) -> None:
    upstream = fleet.upstreams.get(fault.subject)
    if upstream is None or fleet.record.is_leaving(fault.subject):
        return
    await fleet.add_upstream(upstream.zone)
    fleet.drain_upstream(fault.subject)


@begin_fault.register
async def _(fault: UpstreamWithdrawn, fleet: Fleet) -> None:
    upstream = fleet.upstreams.get(fault.subject)
    if upstream is None or fleet.record.is_leaving(fault.subject):
        return
    await fleet.add_upstream(upstream.zone)
    fleet.withdraw_upstream(fault.subject)


@begin_fault.register
async def _(fault: ZoneEvacuated, fleet: Fleet) -> None:
    await fleet.store_present.wait()
    fleet.evacuate(fault.subject)


@begin_fault.register
async def _(fault: LinkHarmed, fleet: Fleet) -> None:
    if fault.subject in fleet.upstream_proxies:
        fleet.upstream_proxies[fault.subject].set_fault(fault.connection_fault)


@begin_fault.register
async def _(fault: KeyWithdrawn, fleet: Fleet) -> None:
    await fleet.store_present.wait()
    fleet.revoke_key()


@begin_fault.register
async def _(fault: RouteAdded, fleet: Fleet) -> None:
    await fleet.store_present.wait()
    fleet.add_route()


@begin_fault.register
async def _(fault: ConfigurationChanged, fleet: Fleet) -> None:
    await fleet.store_present.wait()
    fleet.publish_new_version()


@singledispatch
async def end_fault(fault: Fault, fleet: Fleet) -> None:
    """End a fault; by default there is nothing to undo."""


@end_fault.register
async def _(fault: HostPaused, fleet: Fleet) -> None:
    _find_host(fleet, fault.subject).send_signal(signal.SIGCONT)


@end_fault.register
async def _(fault: StoreCut, fleet: Fleet) -> None:
    _find_host(fleet, fault.subject).store_proxy.set_fault(
        ConnectionFault.NONE
    )


@end_fault.register
async def _(fault: StoreTroubled, fleet: Fleet) -> None:
    fleet.store.failure_mode = FailureMode.NONE


@end_fault.register
async def _(fault: StoreRestored, fleet: Fleet) -> None:
    fleet.restore_store(fault.backup_age_s)


@end_fault.register
async def _(fault: UpstreamCrashed, fleet: Fleet) -> None:
    name = fault.subject
    is_leaving = fleet.record.is_leaving(name)
    if name not in fleet.upstreams and not is_leaving:
        await fleet.add_upstream(fleet.upstream_zones[name], name)


@end_fault.register
async def _(fault: UpstreamSlowed, fleet: Fleet) -> None:
    if fault.subject in fleet.upstreams:
        fleet.upstreams[fault.subject].slowdown_factor = 1.0


@end_fault.register
async def _(fault: UpstreamPaused, fleet: Fleet) -> None:
    if fault.subject in fleet.upstreams:
        fleet.upstreams[fault.subject].pause_s = 0.0


@end_fault.register
async def _(fault: ZoneEvacuated, fleet: Fleet) -> None:
    await fleet.store_present.wait()
    fleet.end_evacuation(fault.subject)


@end_fault.register
async def _(fault: LinkHarmed, fleet: Fleet) -> None:
    if fault.subject in fleet.upstream_proxies:
        fleet.upstream_proxies[fault.subject].set_fault(ConnectionFault.NONE)
