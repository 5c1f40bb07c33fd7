"""Events of changes in the fleet, for logs and limit owners."""

from radishstile.fleet.state import EndEvidence
from radishstile.member import Member


class MemberSuspected:
    """A member does not answer; this is no evidence of its end."""

    __slots__ = ("member",)

    def __init__(self, member: Member):
        self.member = member


class MemberLive:
    """A member answers."""

    __slots__ = ("member",)

    def __init__(self, member: Member):
        self.member = member


class MemberLeaving:
    """A member has announced that it takes no new work."""

    __slots__ = ("member",)

    def __init__(self, member: Member):
        self.member = member


class MemberEnded:
    """There is evidence that an incarnation has ended."""

    __slots__ = ("host", "incarnation", "evidence")

    def __init__(self, host: str, incarnation: int, evidence: EndEvidence):
        self.host = host
        self.incarnation = incarnation
        self.evidence = evidence


class BecameCurrent:
    """Keys are accepted on this host again."""

    __slots__ = ()


class BecameOutdated:
    """Keys are not accepted on this host, for `reason`."""

    __slots__ = ("reason",)

    def __init__(self, reason: str):
        self.reason = reason
