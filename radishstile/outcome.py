"""Outcomes of refused requests, and reason codes."""

from enum import Enum


class Outcome(Enum):
    """Whether a request that got no answer has run."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Reason codes of refusals, as callers see them."""

    NO_KEY = "no-key"
    BAD_KEY = "bad-key"
    FOREIGN_KEY = "foreign-key"
    KEY_WITHDRAWN = "key-withdrawn"
    NOT_CURRENT = "not-current"
    UNKNOWN_ROUTE = "unknown-route"
    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    SLOW_CALLER = "slow-caller"
    RATE_EXCEEDED = "rate-exceeded"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no-upstream"
    DEADLINE = "deadline"
    UPSTREAM_LOST = "upstream-lost"
    UPSTREAM_SHED = "upstream-shed"
    PEER_LOST = "peer-lost"
    KEY_REQUIRED = "idempotency-key-required"
    DUPLICATE = "duplicate"
    RECORD_UNAVAILABLE = "record-unavailable"
    HARMFUL = "harmful"
    STOPPING = "stopping"
    INTERNAL = "internal"
