"""Finds the region of a client address."""

from radishstile.configuration.document import Block
from radishstile.lookup.address import ClientAddress
from radishstile.lookup.table import BlockTable


class RegionLocator:
    """Maps client addresses to regions.

    Blocks of the configuration take precedence over the block table.
    `site_regions` maps each site index to its region, or None.
    """

    __slots__ = (
        "_configured",
        "_configured_regions",
        "_table",
        "_site_regions",
    )

    def __init__(
        self,
        blocks: list[Block],
        table: BlockTable,
        site_regions: list[str | None],
    ):
        regions = sorted({block.region for block in blocks})
        index = {region: number for number, region in enumerate(regions)}
        pairs = [(block.network, index[block.region]) for block in blocks]
        self._configured = BlockTable.build(pairs)
        self._configured_regions = regions
        self._table = table
        self._site_regions = site_regions

    def find_region(self, client: ClientAddress) -> str | None:
        """Return the region of `client`, or None if unknown."""
        stated = self._configured.find(client.value, client.family)
        if stated is not None:
            return self._configured_regions[stated]
        site = self._table.find(client.value, client.family)
        if site is None or site >= len(self._site_regions):
            return None
        return self._site_regions[site]
