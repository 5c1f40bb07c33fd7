"""Tables of figures, fitted lines and the time of one call."""

import time
from collections.abc import Callable

from bench.capacity import target

MIN_SAMPLE_S = 0.02
SAMPLES = 5
US_PER_S = 1e6


class Table:
    """Named rows of figures; `notes` are lines that go under the rows."""

    __slots__ = ("name", "heads", "rows", "notes")

    def __init__(self, name: str, heads: list[str]):
        self.name = name
        self.heads = heads
        self.rows: list[list] = []
        self.notes: list[str] = []

    def add(self, *cells) -> None:
        """Add one row."""
        self.rows.append(list(cells))

    def fit(self, column: int, unit: str, at: float | None = None) -> float:
        """Note the line through a column over the first; return it at `at`.

        `at` is by default the number of hosts of the target.
        """
        at = target.HOSTS if at is None else at
        line = Line.through(
            [row[0] for row in self.rows], [row[column] for row in self.rows]
        )
        self.notes.append(
            f"{self.heads[column]}: {format_cell(line.base)} + "
            f"{format_cell(line.slope)} {unit}; worst residual "
            f"{line.residual:.0%} of the largest value."
        )
        return line.find(at)

    def to_record(self) -> dict:
        """Return the table as a JSON object."""
        return {"heads": self.heads, "rows": self.rows, "notes": self.notes}

    def to_markdown(self) -> str:
        """Return the table and its notes as Markdown."""
        lines = [self.heads, ["---"] * len(self.heads)]
        lines += [[format_cell(cell) for cell in row] for row in self.rows]
        text = "\n".join("| " + " | ".join(line) + " |" for line in lines)
        notes = "".join(f"\n- {note}" for note in self.notes)
        return text + ("\n" + notes if notes else "")


class Line:
    """A least-squares line; `residual` is relative to the largest value."""

    __slots__ = ("base", "slope", "residual")

    def __init__(self, base: float, slope: float, residual: float):
        self.base = base
        self.slope = slope
        self.residual = residual

    @classmethod
    def through(cls, xs: list[float], ys: list[float]) -> "Line":
        """Return the line of least squares through points."""
        mean_x = sum(xs) / len(xs)
        mean_y = sum(ys) / len(ys)
        spread = sum((x - mean_x) ** 2 for x in xs) or 1.0
        pairs = list(zip(xs, ys, strict=True))
        slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
        base = mean_y - slope * mean_x
        worst = max(abs(y - base - slope * x) for x, y in pairs)
        return cls(base, slope, worst / (max(map(abs, ys)) or 1))

    def find(self, x: float) -> float:
        """Return the line's value at `x`."""
        return self.base + self.slope * x


def time_call(action: Callable[[], object]) -> float:
    """Return the processor time of one call, in microseconds.

    The least of several samples counts, since other work only adds to it.
    """
    count = 1
    while _time_many(action, count) < MIN_SAMPLE_S:
        count *= 4
    best = min(_time_many(action, count) for _ in range(SAMPLES))
    return best / count * US_PER_S


def _time_many(action: Callable[[], object], count: int) -> float:
    began = time.process_time()
    for _ in range(count):
        action()
    return time.process_time() - began


def format_cell(cell) -> str:
    """Return a figure with three significant digits, and text as it is."""
    if not isinstance(cell, float):
        return f"{cell:,}" if isinstance(cell, int) else str(cell)
    if abs(cell) >= 100:
        return f"{cell:,.0f}"
    return f"{cell:.3g}"
