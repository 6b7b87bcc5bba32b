"""From a ladder of sizes to a slope with its error and an exponent of growth."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

FEWEST_POINTS = 3  # two always lie on a line and leave no error to tell


@dataclass(slots=True, frozen=True)
class Point:
    """A cost that was measured at a size."""

    size: float
    cost: float


@dataclass(slots=True, frozen=True)
class Growth:
    """``cost = base + slope * size`` by least squares, and ``cost ~ size ** exponent`` over the whole ladder.

    Errors are standard errors. ``last_exponent`` is that of the two largest sizes alone: a constant part
    hides growth at small sizes.
    """

    slope: float
    slope_error: float
    base: float
    exponent: float
    exponent_error: float
    last_exponent: float

    def at(self, size: float) -> float:
        """The cost at a size by the line; beyond the ladder this is an extrapolation."""
        return self.base + self.slope * size

    def __str__(self) -> str:
        return (
            f"slope {self.slope:.4g} +- {self.slope_error:.2g} each, base {self.base:.4g}; "
            f"exponent {self.exponent:.2f} +- {self.exponent_error:.2f}, "
            f"{self.last_exponent:.2f} between the two largest sizes"
        )


def growth(points: Sequence[Point]) -> Growth:
    """Raises ValueError for fewer than `FEWEST_POINTS`, or for costs that are not above 0."""
    if len(points) < FEWEST_POINTS:
        raise ValueError(f"{len(points)} sizes, at least {FEWEST_POINTS} are needed")
    if min(point.cost for point in points) <= 0:
        raise ValueError("each cost must be above 0")
    ordered = sorted(points, key=lambda point: point.size)
    sizes = np.array([point.size for point in ordered])
    costs = np.array([point.cost for point in ordered])
    line = stats.linregress(sizes, costs)
    power = stats.linregress(np.log(sizes), np.log(costs))
    last = np.log(costs[-1] / costs[-2]) / np.log(sizes[-1] / sizes[-2])
    return Growth(
        float(line.slope), float(line.stderr), float(line.intercept), float(power.slope),
        float(power.stderr), float(last),
    )  # fmt: skip


def exponent(points: Sequence[Point]) -> float:
    """The exponent of growth over the whole ladder."""
    return growth(points).exponent


def print_ladder(title: str, unit: str, points: Sequence[Point], size: str) -> None:
    """The ladder as a table, with its growth where there are enough sizes."""
    print(f"{title}, by {size} [{unit}]")
    for point in points:
        print(f"  {point.size:>8,.0f}  {point.cost:,.4g}")
    if len(points) >= FEWEST_POINTS and min(point.cost for point in points) > 0:
        print(f"  {growth(points)}", flush=True)


def print_ratio(what: str, hollow: float, real: float) -> None:
    """The check of a hollow form against real processes of the same size."""
    ratio = hollow / real if real else float("nan")
    print(f"  check, {what}: hollow {hollow:,.4g}, real {real:,.4g}, ratio {ratio:.2f}", flush=True)
