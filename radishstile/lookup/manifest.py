"""The manifest of a block table that is stored in chunks."""

import json

import xxhash

from radishstile.errors import ConfigurationError


class Manifest:
    """The sites of a table by index, and its chunks' digests in order."""

    __slots__ = ("sites", "digests")

    def __init__(self, sites: list[str], digests: list[str]):
        self.sites = sites
        self.digests = digests

    def encode(self) -> bytes:
        """Return the manifest as JSON, byte for byte reproducible."""
        record = {"sites": self.sites, "digests": self.digests}
        return json.dumps(record, separators=(",", ":")).encode()

    @property
    def digest(self) -> str:
        """Return the digest of the encoded manifest, in hexadecimal."""
        return xxhash.xxh3_128_hexdigest(self.encode())

    @classmethod
    def decode(cls, data: bytes, digest: str) -> "Manifest":
        """Decode a manifest.

        Raises `ConfigurationError` if `data` doesn't match `digest`.
        """
        if xxhash.xxh3_128_hexdigest(data) != digest:
            raise ConfigurationError(
                f"block manifest {digest}: content doesn't match"
            )
        record = json.loads(data)
        return cls(record["sites"], record["digests"])
