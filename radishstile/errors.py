"""The exception tree of radishstile.

Every exception that a part raises on purpose descends from
`RadishstileError`, so that daemons and clients can turn it into one line.
"""

from radishstile.outcome import Outcome, Reason


class RadishstileError(Exception):
    """Base of all errors raised by this package."""


class SettingsError(RadishstileError):
    """A settings file is missing, malformed or fails its schema."""


class ConfigurationError(RadishstileError):
    """A configuration document or patch is not acceptable."""


class StaleVersionError(ConfigurationError):
    """A patch was made from a version that is no longer current."""

    def __init__(self, stated: int, current: int):
        super().__init__(
            f"patch is made from version {stated}, current is {current}"
        )
        self.stated = stated
        self.current = current


class PlatformError(RadishstileError):
    """The platform's service did not do what was asked."""


class StoreUnavailableError(PlatformError):
    """The store did not answer, or answered that it is unavailable."""


class VersionConflictError(PlatformError):
    """A conditional update met another version than the expected one."""

    def __init__(self, name: str, expected: int, current: int):
        super().__init__(f"{name}: expected version {expected}, is {current}")
        self.name = name
        self.expected = expected
        self.current = current


class WriteDoubtError(PlatformError):
    """A write was sent, its answer was lost and it can't be read back."""


class HistoryLostError(PlatformError):
    """The store has dropped the changes that a watch asked for."""


class ObjectConflictError(PlatformError):
    """A write met another revision than the expected one."""


class ObjectMissingError(PlatformError):
    """The store has no object of that name."""


class WireError(RadishstileError):
    """A peer stream carried something that is not acceptable."""


class FrameError(WireError):
    """A frame is too large, malformed or of an unknown type."""


class HandshakeError(WireError):
    """A peer did not show the fleet's secret or speaks another version."""


class PeerLostError(WireError):
    """The connection to a peer ended."""


class HttpError(RadishstileError):
    """Bytes that are no acceptable message, and the status that says so."""

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status


class UpstreamUnreachableError(RadishstileError):
    """No connection to an upstream could be opened; nothing was sent."""


class OperatorError(RadishstileError):
    """An operator's request can't be carried out."""


class RefusalError(RadishstileError):
    """A request is refused, with what is known about its effect.

    `retry_after` is in seconds, or None where waiting does not help.
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
