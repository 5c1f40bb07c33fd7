"""Converts reports on upstreams and poison requests to messages and back."""

from functools import singledispatch

from radishstile.errors import WireError
from radishstile.run.poison import CrashReport, SuccessReport
from radishstile.upstream.departure import LeavingReport
from radishstile.wire.messages.base import Message
from radishstile.wire.messages.fleet import ReportCrash, ReportSuccess
from radishstile.wire.messages.slot import ReportLeaving

Report = CrashReport | SuccessReport | LeavingReport


@singledispatch
def encode_report(report) -> Message:
    """Return the message that carries a report."""
    raise TypeError(f"not a report: {type(report).__name__}")


@encode_report.register
def _(report: CrashReport) -> Message:
    return ReportCrash(
        report_id=report.report_id,
        upstream=report.upstream,
        fingerprints=[f.hex() for f in sorted(report.fingerprints)],
    )


@encode_report.register
def _(report: SuccessReport) -> Message:
    return ReportSuccess(
        report_id=report.report_id, fingerprint=report.fingerprint.hex()
    )


@encode_report.register
def _(report: LeavingReport) -> Message:
    return ReportLeaving(
        upstream=report.upstream_id, started_at_ms=report.started_at_ms
    )


@singledispatch
def decode_report(message: Message) -> Report:
    """Return the report that a message carries.

    Raises `WireError` if a fingerprint is malformed.
    """
    raise TypeError(f"not a message with a report: {type(message).__name__}")


@decode_report.register
def _(message: ReportCrash) -> CrashReport:
    fingerprints = frozenset(map(_decode_digest, message.fingerprints))
    return CrashReport(message.report_id, message.upstream, fingerprints)


@decode_report.register
def _(message: ReportSuccess) -> SuccessReport:
    fingerprint = _decode_digest(message.fingerprint)
    return SuccessReport(message.report_id, fingerprint)


@decode_report.register
def _(message: ReportLeaving) -> LeavingReport:
    return LeavingReport(message.upstream, message.started_at_ms)


def _decode_digest(text: str) -> bytes:
    try:
        return bytes.fromhex(text)
    except ValueError as error:
        raise WireError("a fingerprint is not hexadecimal") from error
