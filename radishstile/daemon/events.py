"""Logs the events of fleet membership."""

import logging
from functools import singledispatch

from radishstile.fleet import event as events

_LOG = logging.getLogger("radishstile.fleet")


@singledispatch
def log_event(event) -> None:
    """Log one event of the fleet."""
    raise TypeError(f"unknown event type: {type(event).__name__}")


@log_event.register
def _(event: events.MemberLive) -> None:
    _LOG.info("fleet: %s is live.", event.member)


@log_event.register
def _(event: events.MemberSuspected) -> None:
    _LOG.warning("fleet: %s does not answer heartbeats.", event.member)


@log_event.register
def _(event: events.MemberLeaving) -> None:
    _LOG.info("fleet: %s is leaving.", event.member)


@log_event.register
def _(event: events.MemberEnded) -> None:
    name = f"{event.host}#{event.incarnation}"
    _LOG.info("fleet: %s has ended: %s.", name, event.evidence.name.lower())


@log_event.register
def _(event: events.BecameCurrent) -> None:
    _LOG.info("fleet: The configuration is confirmed as current.")


@log_event.register
def _(event: events.BecameOutdated) -> None:
    _LOG.warning(
        "fleet: Configuration may be outdated, API keys are refused: %s.",
        event.reason,
    )
