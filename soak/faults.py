"""Faults and planned changes, and how each is begun and ended."""

import signal
from functools import singledispatch

from soak.fleet import Fleet
from soak.hosts import Host
from soak.proxy import Harm
from standin.objects import Trouble

# How much slower a slow upstream works.
SLOWNESS = 8.0


class Fault:
    """Something that happens to `subject` for `for_s` seconds."""

    __slots__ = ("subject", "for_s")

    is_planned = False

    def __init__(self, subject: str, for_s: float):
        self.subject = subject
        self.for_s = for_s


class HostKilled(Fault):
    """A process is killed, and started again."""

    __slots__ = ()


class AllKilled(Fault):
    """All processes are killed at once."""

    __slots__ = ()


class HostPaused(Fault):
    """A process stands still, and goes on."""

    __slots__ = ()


class HostStopped(Fault):
    """A process is told to stop, and started again."""

    __slots__ = ()

    is_planned = True


class HostReloaded(Fault):
    """A process is told that its settings have changed."""

    __slots__ = ()

    is_planned = True


class StoreCut(Fault):
    """One host's way to the store is harmed."""

    __slots__ = ("harm",)

    def __init__(self, subject: str, for_s: float, harm: Harm):
        super().__init__(subject, for_s)
        self.harm = harm


class StoreTroubled(Fault):
    """The store treats all hosts badly."""

    __slots__ = ("trouble",)

    def __init__(self, subject: str, for_s: float, trouble: Trouble):
        super().__init__(subject, for_s)
        self.trouble = trouble


class HistoryForgotten(Fault):
    """The store drops its history."""

    __slots__ = ()


class UpstreamCrashed(Fault):
    """An upstream ends, and starts again under its id."""

    __slots__ = ()


class UpstreamSlowed(Fault):
    """An upstream works slowly."""

    __slots__ = ()


class UpstreamLeaves(Fault):
    """An upstream drains; a new one takes its place."""

    __slots__ = ()

    is_planned = True


class LinkHarmed(Fault):
    """Connections to an upstream are harmed."""

    __slots__ = ("harm",)

    def __init__(self, subject: str, for_s: float, harm: Harm):
        super().__init__(subject, for_s)
        self.harm = harm


class KeyWithdrawn(Fault):
    """The operator takes a key away."""

    __slots__ = ()

    is_planned = True


class ConfigurationChanged(Fault):
    """The operator writes a new version that changes nothing for callers."""

    __slots__ = ()

    is_planned = True


def _find_host(fleet: Fleet, name: str) -> Host:
    return next(host for host in fleet.hosts if host.name == name)


@singledispatch
async def begin(fault: Fault, fleet: Fleet) -> None:
    """Let a fault begin."""
    raise TypeError(type(fault).__name__)


@begin.register
async def _(fault: HostKilled, fleet: Fleet) -> None:
    _find_host(fleet, fault.subject).signal(signal.SIGKILL)


@begin.register
async def _(fault: AllKilled, fleet: Fleet) -> None:
    for host in fleet.hosts:
        host.signal(signal.SIGKILL)


@begin.register
async def _(fault: HostPaused, fleet: Fleet) -> None:
    _find_host(fleet, fault.subject).signal(signal.SIGSTOP)


@begin.register
async def _(fault: HostStopped, fleet: Fleet) -> None:
    _find_host(fleet, fault.subject).signal(signal.SIGTERM)


@begin.register
async def _(fault: HostReloaded, fleet: Fleet) -> None:
    _find_host(fleet, fault.subject).signal(signal.SIGHUP)


@begin.register
async def _(fault: StoreCut, fleet: Fleet) -> None:
    _find_host(fleet, fault.subject).store.set_harm(fault.harm)


@begin.register
async def _(fault: StoreTroubled, fleet: Fleet) -> None:
    fleet.store.trouble = fault.trouble


@begin.register
async def _(fault: HistoryForgotten, fleet: Fleet) -> None:
    fleet.store.forget_history()


@begin.register
async def _(fault: UpstreamCrashed, fleet: Fleet) -> None:
    if fault.subject in fleet.upstreams:
        await fleet.crash(fault.subject)


@begin.register
async def _(fault: UpstreamSlowed, fleet: Fleet) -> None:
    if fault.subject in fleet.upstreams:
        fleet.upstreams[fault.subject].slowness = SLOWNESS


@begin.register
async def _(fault: UpstreamLeaves, fleet: Fleet) -> None:
    upstream = fleet.upstreams.get(fault.subject)
    if upstream is None or fault.subject in fleet.record.drained:
        return
    await fleet.add_upstream(upstream.zone)
    fleet.drain(fault.subject)


@begin.register
async def _(fault: LinkHarmed, fleet: Fleet) -> None:
    if fault.subject in fleet.links:
        fleet.links[fault.subject].set_harm(fault.harm)


@begin.register
async def _(fault: KeyWithdrawn, fleet: Fleet) -> None:
    fleet.withdraw_key()


@begin.register
async def _(fault: ConfigurationChanged, fleet: Fleet) -> None:
    fleet.write_configuration()


@singledispatch
async def end(fault: Fault, fleet: Fleet) -> None:
    """Let a fault end; most end by themselves."""


@end.register
async def _(fault: HostPaused, fleet: Fleet) -> None:
    _find_host(fleet, fault.subject).signal(signal.SIGCONT)


@end.register
async def _(fault: StoreCut, fleet: Fleet) -> None:
    _find_host(fleet, fault.subject).store.set_harm(Harm.NONE)


@end.register
async def _(fault: StoreTroubled, fleet: Fleet) -> None:
    fleet.store.trouble = Trouble.NONE


@end.register
async def _(fault: UpstreamCrashed, fleet: Fleet) -> None:
    name = fault.subject
    is_leaving = name in fleet.record.drained
    if name not in fleet.upstreams and not is_leaving:
        zone = fleet.store.get_spec("servers", name)["info"]["zone"]
        await fleet.add_upstream(zone, name)


@end.register
async def _(fault: UpstreamSlowed, fleet: Fleet) -> None:
    if fault.subject in fleet.upstreams:
        fleet.upstreams[fault.subject].slowness = 1.0


@end.register
async def _(fault: LinkHarmed, fleet: Fleet) -> None:
    if fault.subject in fleet.links:
        fleet.links[fault.subject].set_harm(Harm.NONE)
