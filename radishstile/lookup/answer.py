"""Answers to look-ups."""

from radishstile.lookup.address import ClientAddress
from radishstile.lookup.directory import HostDirectory, LookupAnswer
from radishstile.lookup.location import RegionLocator
from radishstile.shift.share import Placement


class LookupQuery:
    """The address of a caller and the route whose entry hosts it asks for."""

    __slots__ = ("client", "route")

    def __init__(self, client: ClientAddress, route: str):
        self.client = client
        self.route = route


def make_answer(
    query: LookupQuery,
    locator: RegionLocator,
    placement: Placement,
    directory: HostDirectory,
) -> LookupAnswer:
    """Return the entry hosts for `query`, best first.

    A client of unknown region gets the region of the host that answers.
    Planned moves override the region for a share of the client blocks.
    """
    block = query.client.block
    region = locator.find_region(query.client) or directory.region
    target = placement.find_destination(query.route, region, block).region
    return directory.answer(target, block)
