"""What ended incarnations may still use, and which members are leaving."""

from radishstile.fleet.directory import MemberDirectory
from radishstile.fleet.roster import PreviousOwnerState, Roster
from radishstile.fleet.state import EndEvidence
from radishstile.member import Member


def find_previous_state(
    directory: MemberDirectory, identity: tuple[str, int]
) -> PreviousOwnerState:
    """Return what an ended incarnation may still use of its resources."""
    if directory.find_end_evidence(identity) is EndEvidence.RELEASED:
        return PreviousOwnerState.RELEASED
    end = directory.find_end(identity)
    is_closed = end is not None and end.is_closed
    return PreviousOwnerState.CLOSED if is_closed else PreviousOwnerState.LOST


def map_previous_states(
    directory: MemberDirectory, roster: Roster, registered: list[Member]
) -> dict[tuple[str, int], PreviousOwnerState]:
    """Return what each ended incarnation may still use, by identity."""
    members = [*roster.members.values(), *registered]
    identities = {member.identity for member in members}
    predecessors = {entry.predecessor for entry in roster.owners.values()}
    identities |= predecessors - {None}
    return {
        identity: find_previous_state(directory, identity)
        for identity in identities
        if directory.find_end_evidence(identity)
    }


def list_leaving(directory: MemberDirectory) -> set[tuple[str, int]]:
    """Return the members that have announced that they leave."""
    return {
        membership.identity
        for membership in directory.list_present()
        if membership.is_leaving
    }
