"""Chooses whose connection is closed where memory or descriptors are short."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from radishstile.entry.buffers import Holder


def choose_victims(
    holders: "Iterable[Holder]",
    size: int,
    stalled_since: float,
    is_small: bool,
) -> "list[Holder]":
    """Return the holders to close so that `size` bytes are freed.

    The largest that have made no progress since `stalled_since` come first.
    A small request also displaces larger ones that arrive still: those are
    refused as not run.
    """
    waiting = [holder for holder in holders if holder.is_waiting]
    stalled = [h for h in waiting if h.progress_at <= stalled_since]
    victims = _take_largest(stalled, size)
    freed = sum(holder.total_bytes for holder in victims)
    if freed >= size or not is_small:
        return victims
    partial = [h for h in waiting if h.is_partial and h not in victims]
    return victims + _take_largest(partial, size - freed)


def choose_oldest(holders: "Iterable[Holder]", count: int) -> "list[Holder]":
    """Return the `count` holders to close so that others can connect.

    Those that have served nothing or stopped inside a request come before
    those that callers may use again, and the longest without progress first.
    """
    waiting = [holder for holder in holders if holder.is_waiting]
    waiting.sort(key=_rank_by_use)
    return waiting[:count]


def _rank_by_use(holder: "Holder") -> tuple[bool, float]:
    is_reusable = holder.has_served and not holder.is_partial
    return is_reusable, holder.progress_at


def _take_largest(holders: "list[Holder]", size: int) -> "list[Holder]":
    taken = []
    for holder in sorted(holders, key=lambda h: -h.total_bytes):
        if size <= 0:
            break
        taken.append(holder)
        size -= holder.total_bytes
    return taken
