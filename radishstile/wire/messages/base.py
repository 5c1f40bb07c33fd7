"""Base classes of the messages between hosts."""

from typing import NewType

Headers = list[list[str]]
PartData = NewType("PartData", bytes)


class Message:
    """A message whose fields are its slots, in order.

    The codec checks the annotated types of the fields, and compresses long
    messages of types with `is_compressed`.
    """

    __slots__ = ()
    fields: tuple[str, ...] = ()
    is_compressed = False

    def __init_subclass__(cls):
        super().__init_subclass__()
        cls.fields = cls.fields + tuple(cls.__slots__)

    def __init__(self, **values):
        if values.keys() != set(self.fields):
            wrong = sorted(values.keys() ^ set(self.fields))
            name = type(self).__name__
            raise TypeError(f"{name}: missing or unknown fields {wrong}")
        for name, value in values.items():
            setattr(self, name, value)

    def __eq__(self, other: object) -> bool:
        if type(self) is not type(other):
            return NotImplemented
        return self.values() == other.values()

    __hash__ = None

    def __repr__(self) -> str:
        return f"{type(self).__name__}({', '.join(self.fields)})"

    def values(self) -> list:
        """Return the values of the fields, in order."""
        return [getattr(self, name) for name in self.fields]


class Part(Message):
    """A numbered part of a body or answer; numbers start at 0."""

    __slots__ = ("request_id", "number", "data")

    request_id: str
    number: int
    data: PartData


class PartsEnd(Message):
    """The end of a body or answer: its count of parts and length in bytes."""

    __slots__ = ("request_id", "parts", "length")

    request_id: str
    parts: int
    length: int
