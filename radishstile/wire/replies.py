"""The types of the messages that may follow the one that opens an exchange."""

from radishstile.errors import ReplyError
from radishstile.wire.messages import block, fleet, run, slot
from radishstile.wire.messages.base import Message
from radishstile.wire.messages.control import Failed, Refused

Types = tuple[type[Message], ...]

_ERRORS: Types = (Failed, Refused)

# By the opening message, the messages of the peer that handles it. Where
# `Failed` and `Refused` are not listed they end the exchange with an error;
# elsewhere the caller passes them to `raise_for_error`.
REPLY_TYPES: dict[type[Message], Types] = {
    fleet.Heartbeat: (fleet.HeartbeatReply, *_ERRORS),
    fleet.ClaimRight: (fleet.GrantRight, *_ERRORS),
    fleet.ConfigurationPush: (fleet.PushAccepted, *_ERRORS),
    fleet.RosterPush: (fleet.PushAccepted, *_ERRORS),
    fleet.StateQuery: (fleet.StateReply, *_ERRORS),
    fleet.HandOver: (fleet.HandedOver, *_ERRORS),
    fleet.LoadQuery: (fleet.LoadReply, *_ERRORS),
    fleet.RouteLoadQuery: (fleet.RouteLoadReply, *_ERRORS),
    fleet.TraceQuery: (fleet.TraceReply, *_ERRORS),
    run.RunRequest: (
        run.RunStarted,
        run.AnswerHead,
        run.AnswerPart,
        run.AnswerEnd,
        fleet.ReportCrash,
        *_ERRORS,
    ),
    run.RecordRun: (run.RunKnown, *_ERRORS),
    run.AwaitRun: (run.RunKnown, *_ERRORS),
    run.FinishRun: (run.RunKnown, *_ERRORS),
    block.BlockQuery: (block.BlockReply, *_ERRORS),
    slot.ClaimSlot: (slot.SlotGranted, slot.SlotQueued, slot.SlotDenied),
    slot.FollowLead: (slot.LeadState,),
    slot.BorrowSlots: (slot.LentSlots,),
    slot.MirrorQuery: (slot.MirrorReply,),
}
# By the opening message, the further messages of the peer that sent it.
FOLLOW_UP_TYPES: dict[type[Message], Types] = {
    run.RunRequest: (run.BodyPart, run.BodyEnd),
    slot.ClaimSlot: (slot.SlotReport,),
}


def list_reply_types(opening: Message) -> Types:
    """Return the types of the messages that reply to an opening message."""
    return REPLY_TYPES.get(type(opening), _ERRORS)


def list_follow_up_types(opening: Message) -> Types:
    """Return the types of the messages that may follow an opening message."""
    return FOLLOW_UP_TYPES.get(type(opening), ())


def check_type(message: Message, expected: Types) -> None:
    """Raise `ReplyError` if a message is of none of the expected types."""
    if type(message) in expected:
        return
    names = " or ".join(kind.__name__ for kind in expected) or "no message"
    raise ReplyError(f"got {describe(message)}, expected {names}")


def describe(message: Message) -> str:
    """Return a message's type, and the reason of a refusal."""
    name = type(message).__name__
    return f"{name} ({message.reason})" if type(message) is Refused else name
