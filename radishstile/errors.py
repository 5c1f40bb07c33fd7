"""The exception tree of radishstile.

Every exception raised on purpose derives from `RadishstileError`, so daemons
and clients can report it in one line.
"""

from radishstile.outcome import Outcome, Reason


class RadishstileError(Exception):
    """Base of all errors raised by this package."""


class SettingsError(RadishstileError):
    """A settings file is missing, malformed or fails its schema."""


class ConfigurationError(RadishstileError):
    """A configuration document or patch is invalid."""


class StaleVersionError(ConfigurationError):
    """A patch was made from a version that is no longer current."""

    def __init__(self, stated: int, current: int):
        super().__init__(
            f"patch is made from version {stated}, current is {current}"
        )
        self.stated = stated
        self.current = current


class PlatformError(RadishstileError):
    """A request to a platform service failed."""


class StoreUnavailableError(PlatformError):
    """The store did not answer, or answered that it is unavailable."""


class VersionConflictError(PlatformError):
    """The version of a conditional update is not the current one."""

    def __init__(self, name: str, expected: int, current: int):
        super().__init__(f"{name}: expected version {expected}, is {current}")
        self.name = name
        self.expected = expected
        self.current = current


class WriteDoubtError(PlatformError):
    """A write's answer was lost and reading it back failed."""


class HistoryLostError(PlatformError):
    """The store has dropped the changes that a watch asked for."""


class ObjectConflictError(PlatformError):
    """The expected revision of a write is not the current one."""


class ObjectMissingError(PlatformError):
    """The store has no object of that name."""


class WireError(RadishstileError):
    """A protocol error on a connection between hosts."""


class FrameError(WireError):
    """A frame is too large, malformed or of an unknown type."""


class ReplyError(WireError):
    """A peer sent a message of another type than its exchange expects."""


class HandshakeError(WireError):
    """A peer lacks the fleet's secret or has another protocol version."""


class PeerLostError(WireError):
    """The connection to a peer ended."""


class LoadReportError(RadishstileError):
    """Raised if the load that an upstream or a host reports is malformed."""


class HttpError(RadishstileError):
    """An invalid HTTP message, and the status to answer with."""

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status


class NotConnectedError(RadishstileError):
    """No connection to a server could be opened; nothing was sent."""


class UpstreamUnreachableError(RadishstileError):
    """No connection to an upstream could be opened; nothing was sent."""


class UpstreamRefusedError(UpstreamUnreachableError):
    """No process listens at an upstream's address."""


class OperatorError(RadishstileError):
    """An operator's request can't be carried out."""


class RefusalError(RadishstileError):
    """A request is refused; `outcome` says whether it has run.

    `retry_after` is in seconds, or None if a retry does not help.
    """

    def __init__(
        self,
        reason: Reason,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after: float | None = None,
        detail: str = "",
    ):
        super().__init__(detail or reason.value)
        self.reason = reason
        self.outcome = outcome
        self.retry_after = retry_after
