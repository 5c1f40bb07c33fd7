"""Builds a block table and uploads it to a daemon in chunks."""

import base64
from pathlib import Path

from radishstile.cli.client import OperatorClient, read_json_file
from radishstile.errors import OperatorError, RadishstileError
from radishstile.lookup.chunk import Chunk
from radishstile.lookup.listing import read_blocks
from radishstile.lookup.table import BlockTable


class BlockList:
    """The chunks of a block table and the region of each site."""

    __slots__ = ("sites", "chunks")

    def __init__(self, sites: dict[str, str], chunks: list[Chunk]):
        self.sites = sites
        self.chunks = chunks


def read_block_list(path: str, sites_path: str) -> BlockList:
    """Build the block table of a CSV file; raises `OperatorError`.

    `sites_path` names a JSON object that maps each site to its region.
    """
    sites = read_json_file(sites_path)
    if not isinstance(sites, dict):
        raise OperatorError(f"{sites_path}: expected an object")
    try:
        with Path(path).open(encoding="utf-8") as lines:
            table = BlockTable.build(read_blocks(lines, list(sites)))
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from error
    except (RadishstileError, UnicodeDecodeError) as error:
        raise OperatorError(f"{path}: {error}") from error
    return BlockList(sites, table.to_chunks())


async def upload_block_list(
    client: OperatorClient, blocks: BlockList
) -> object:
    """Upload each chunk, then publish the table."""
    for chunk in blocks.chunks:
        body = base64.b64encode(chunk.body).decode()
        await client.execute("put-blocks", digest=chunk.digest, body=body)
    digests = [chunk.digest for chunk in blocks.chunks]
    return await client.execute(
        "publish-blocks", sites=blocks.sites, digests=digests
    )
