"""What incarnations that ended, or are about to, may still occupy."""

from radishstile.fleet.directory import Directory
from radishstile.fleet.roster import FormerHome, Roster
from radishstile.fleet.state import Evidence
from radishstile.member import Member


def judge_end(directory: Directory, identity: tuple[str, int]) -> FormerHome:
    """Return what an incarnation that has ended may still occupy."""
    if directory.find_evidence(identity) is Evidence.RELEASED:
        return FormerHome.RELEASED
    end = directory.find_end(identity)
    is_closed = end is not None and end.is_closed
    return FormerHome.CLOSED if is_closed else FormerHome.LOST


def judge_ends(
    directory: Directory, roster: Roster, registered: list[Member]
) -> dict[tuple[str, int], FormerHome]:
    """Return what those that ended may still occupy, by identity."""
    members = [*roster.members.values(), *registered]
    identities = {member.identity for member in members}
    predecessors = {entry.predecessor for entry in roster.homes.values()}
    identities |= predecessors - {None}
    return {
        identity: judge_end(directory, identity)
        for identity in identities
        if directory.find_evidence(identity)
    }


def list_leaving(directory: Directory) -> set[tuple[str, int]]:
    """Return the members that have said that they take no new work."""
    return {
        known.identity
        for known in directory.list_present()
        if known.is_leaving
    }
