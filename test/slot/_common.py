"""Helpers for tests of the book of slots."""

from radishstile.catalog.catalog import Service
from radishstile.slot.book import SlotBook
from radishstile.slot.claim import Claim, Ending
from radishstile.slot.settings import SlotSettings
from radishstile.upstream.registration import Readiness, Registration

SERVICE = "press"
REGION = "akl"
OBJECTIVE_S = 0.5
NOW = 20.0


def make_registration(
    name, slots=2, region=REGION, cold_for_s=0.0, started_at_ms=1, zone="a"
):
    return Registration(
        name,
        SERVICE,
        "127.0.0.1",
        80,
        f"{region}-{zone}",
        region,
        slots,
        Readiness.READY,
        cold_for_s,
        started_at_ms,
        0.0,
    )


def make_claim(
    name,
    key="",
    priority=1,
    now=NOW,
    deadline_s=3.0,
    excluded=(),
    regions=(),
    zone="",
):
    return Claim(
        name,
        SERVICE,
        "route",
        key,
        priority,
        zone,
        frozenset(regions),
        frozenset(excluded),
        now,
        now + OBJECTIVE_S,
        now + deadline_s,
    )


def make_book(*registrations, share=1.0, now=0.0):
    book = SlotBook(REGION, SlotSettings())
    services = {SERVICE: Service(SERVICE, 3.0, 8.0)}
    book.replace_upstreams(list(registrations), services, now)
    book.resize(share, now)
    return book


def offer(book, claim, now=None):
    at = claim.arrived_at if now is None else now
    return book.offer(claim, OBJECTIVE_S, at)


def learn_hold(book, held_s, key=""):
    """Let the book see runs that hold a slot for `held_s` s, before `NOW`."""
    for n in range(30):
        name = f"learned-{n}"
        at = n / 2
        offer(book, make_claim(name, key=key, now=at))
        book.finish(name, Ending.SERVED, held_s, at + held_s)
