"""Deltas: a configuration revision sent as its patch only."""

import json
from functools import singledispatch

import xxhash

from radishstile.configuration.patch import apply_patch, parse_patch
from radishstile.configuration.revision import HistoryEntry, Revision
from radishstile.errors import ConfigurationError


class RevisionDelta:
    """A history entry and the digest of the resulting document.

    The digest is the 64-bit XXH3 of the document's JSON with sorted keys, in
    hexadecimal. It detects a host whose document differs.
    """

    __slots__ = ("entry", "digest")

    def __init__(self, entry: HistoryEntry, digest: str):
        self.entry = entry
        self.digest = digest

    @property
    def version(self) -> int:
        """Return the number of the resulting revision."""
        return self.entry.version

    @classmethod
    def for_revision(cls, revision: Revision) -> "RevisionDelta":
        """Return the delta from the previous revision to `revision`."""
        return cls(revision.entry, digest_document(revision.document))

    def to_record(self) -> dict:
        """Return the delta as a JSON object."""
        return {"entry": self.entry.to_record(), "digest": self.digest}

    @classmethod
    def from_record(cls, record: dict) -> "RevisionDelta":
        """Return the delta from a JSON object."""
        return cls(HistoryEntry.from_record(record["entry"]), record["digest"])


@singledispatch
def resolve_revision(update: Revision, current: Revision) -> Revision:
    """Return the complete revision for `update`.

    Raises `ConfigurationError` if a delta doesn't apply to `current`.
    """
    return update


@resolve_revision.register
def _(update: RevisionDelta, current: Revision) -> Revision:
    entry = update.entry
    if entry.from_version != current.version:
        raise ConfigurationError(
            f"delta from version {entry.from_version}, "
            f"but the current version is {current.version}"
        )
    document = apply_patch(parse_patch(entry.patch), current.document)
    if digest_document(document) != update.digest:
        raise ConfigurationError(
            f"delta to version {entry.version}: document digest differs"
        )
    return Revision(entry, document)


def digest_document(document: dict) -> str:
    """Return the digest of a document; see `RevisionDelta`."""
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return xxhash.xxh3_64_hexdigest(text.encode())
