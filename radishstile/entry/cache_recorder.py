"""Saves where a region's objects are cached, for its next leader."""

import asyncio
import logging

from radishstile.entry.admission import AdmissionController
from radishstile.entry.leadership import Leadership
from radishstile.entry.logs import log_fields
from radishstile.entry.node import EntryNode, read_clock
from radishstile.errors import ObjectMissingError, PlatformError
from radishstile.fleet.leadership import FRESH_MAX_AGE_S
from radishstile.platform.cache_records import (
    CACHE_KIND,
    decode_caches,
    encode_caches,
)
from radishstile.slot.cache_record import CacheRecord

_LOG = logging.getLogger("radishstile.caches")

# Interval at which a leader saves changed records, in seconds.
SAVE_INTERVAL_S = 5.0
# Share of the region's hosts that follow a leader that saves records: others
# know little of what runs where.
SAVE_MIN_SHARE = 0.5
# Time after which a host that is not the first of its region is taken for its
# leader, in seconds. When all hosts start, each leads itself until it reaches
# the first.
SETTLE_S = 0.4


class CacheRecorder:
    """Saves the leader's records of caches, and restores them for a new one.

    A scheduler that does not know which upstreams have cached an object runs
    it cold elsewhere, three times as long. After a restart of all hosts, their
    callers come back at once, and only the store still has the records.
    """

    __slots__ = ("_node", "_leadership", "_admission", "_saved")

    def __init__(
        self,
        node: EntryNode,
        leadership: Leadership,
        admission: AdmissionController,
    ):
        self._node = node
        self._leadership = leadership
        self._admission = admission
        # The cached objects as of the last save.
        self._saved: set[tuple[str, str]] = set()

    async def run(self) -> None:
        """Restore and save the records each time this host leads."""
        while True:
            # Until the hosts are known, each one leads itself.
            is_known = self._node.hosts.is_loaded
            if not is_known or not self._leadership.is_leading:
                await self._leadership.wait_change()
                continue
            if not self._is_settled():
                await asyncio.sleep(SETTLE_S)
                continue
            await self._restore()
            await self._save_while_leading()

    def _is_settled(self) -> bool:
        is_first = self._node.list_region_hosts()[0] == self._node.local_member
        led_s = read_clock() - self._leadership.followed_at
        return is_first or led_s >= SETTLE_S

    async def _restore(self) -> None:
        """Restore the records that the previous leader has saved."""
        region = self._node.local_member.region
        try:
            stored = await self._node.store.read(CACHE_KIND, region)
            records = decode_caches(stored) if stored else []
        except PlatformError as error:
            _LOG.warning("caches: Records not restored: %s", error)
            return
        self._admission.scheduler.restore_caches(records)
        _LOG.info(
            "caches: Records restored.",
            extra=log_fields(
                upstreams=len(records),
                objects=sum(len(record.object_keys) for record in records),
            ),
        )

    async def _save_while_leading(self) -> None:
        while self._leadership.is_leading:
            await asyncio.sleep(SAVE_INTERVAL_S)
            if not self._may_save():
                continue
            try:
                await self._save()
            except PlatformError as error:
                _LOG.warning("caches: Records not saved: %s", error)

    def _may_save(self) -> bool:
        if self._admission.scheduler.share < SAVE_MIN_SHARE:
            return False
        return self._node.measure_store_answer_age() <= FRESH_MAX_AGE_S

    async def _save(self) -> None:
        records = self._admission.scheduler.list_caches()
        cached = _list_cached(records)
        if cached == self._saved:
            return
        region = self._node.local_member.region
        spec = encode_caches(records)
        try:
            await self._node.store.replace(CACHE_KIND, region, spec)
        except ObjectMissingError:
            await self._node.store.create(CACHE_KIND, region, spec)
        self._saved = cached


def _list_cached(records: list[CacheRecord]) -> set[tuple[str, str]]:
    return {
        (record.upstream_id, key)
        for record in records
        for key in record.object_keys
    }
