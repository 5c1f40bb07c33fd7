"""Assigns idempotency keys to partitions of the journal."""

import xxhash

from radishstile.run.settings import RunSettings


def choose_partition(key: bytes, settings: RunSettings) -> int:
    """Return the partition that holds the record of a key's digest."""
    return xxhash.xxh64_intdigest(key) % settings.partitions


def name_resource(partition: int) -> str:
    """Return the name of a partition's resource and of its head object."""
    return f"journal/{partition}"


def name_segment(partition: int, number: int) -> str:
    """Return the name of a sealed segment's object."""
    return f"journal/{partition}/{number}"
