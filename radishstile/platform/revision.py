"""Revisions of the store, which can be compared across its eras.

The store counts its changes in a revision. When it is restored from a backup
it goes back and gives out the same numbers again, and the header `Store-Era`
of its answers rises by one.
"""

from radishstile.http.message import AnswerHead

_ERA_HEADER = b"store-era"
_NUMBER_BITS = 48
_NUMBER_LIMIT = 1 << _NUMBER_BITS
_ERA_LIMIT = 1 << 15
_ERA_DIGITS = 5


class Revision(int):
    """An era and the store's number within it, ordered by both.

    The era is kept in the upper bits, so that hosts can send revisions as
    integers. Those of a store without eras are its plain numbers.
    """

    __slots__ = ()

    @classmethod
    def make(cls, era: int, number: int) -> "Revision":
        """Return a revision; raises `ValueError` if a part is out of range."""
        if not (0 <= era < _ERA_LIMIT and 0 <= number < _NUMBER_LIMIT):
            raise ValueError(f"revision {number} of era {era}")
        return cls(era << _NUMBER_BITS | number)

    @property
    def era(self) -> int:
        """Return the era in which the number was given out."""
        return self >> _NUMBER_BITS

    @property
    def number(self) -> int:
        """Return the number that the store knows."""
        return self & (_NUMBER_LIMIT - 1)

    def __repr__(self) -> str:
        return f"{self.era}:{self.number}"

    __str__ = __repr__


def read_era(head: AnswerHead) -> int:
    """Return the era that an answer of the store names, 0 without one.

    Raises `ValueError` if it is doubled, can't be read or is out of range.
    """
    values = head.find_all(_ERA_HEADER)
    if not values:
        return 0
    text = values[0]
    if len(values) > 1 or not text.isdigit() or len(text) > _ERA_DIGITS:
        raise ValueError(f"unreadable era {text[:20]!r}")
    return Revision.make(int(text), 0).era


class EraClock:
    """The highest era of the store that is known."""

    __slots__ = ("era",)

    def __init__(self):
        self.era = 0

    def observe(self, era: int) -> bool:
        """Record an era; return False if a higher one is known."""
        if era < self.era:
            return False
        self.era = era
        return True
