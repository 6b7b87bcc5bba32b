"""Fits measured costs over a series of sizes: a linear slope with its error, and an exponent of growth."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

MIN_POINTS = 3  # a line through two points has no residuals, so the error of its slope is unknown


@dataclass(slots=True, frozen=True)
class Point:
    """One measured cost and the size at which it was measured."""

    size: float
    cost: float


@dataclass(slots=True, frozen=True)
class Growth:
    """Least-squares fits of ``cost = base + slope * size`` and of ``cost ~ size ** exponent`` to all points.

    Errors are standard errors. ``last_exponent`` is computed from the two largest sizes alone, because a
    constant part of the cost hides growth at small sizes.
    """

    slope: float
    slope_error: float
    base: float
    exponent: float
    exponent_error: float
    last_exponent: float

    def at(self, size: float) -> float:
        """The cost at a size by the linear fit; outside the measured sizes this is an extrapolation."""
        return self.base + self.slope * size

    def __str__(self) -> str:
        return (
            f"slope {self.slope:.4g} +- {self.slope_error:.2g}, base {self.base:.4g}; "
            f"exponent {self.exponent:.2f} +- {self.exponent_error:.2f}, "
            f"{self.last_exponent:.2f} between the two largest sizes"
        )


def growth(points: Sequence[Point]) -> Growth:
    """Fit the growth of the measured costs.

    Raises ValueError for fewer than `MIN_POINTS` points, or for a cost that is not above 0.
    """
    if len(points) < MIN_POINTS:
        raise ValueError(f"got costs at {len(points)} sizes, a fit needs at least {MIN_POINTS}")
    if min(point.cost for point in points) <= 0:
        raise ValueError("each cost must be above 0 to fit an exponent")
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
    """The exponent of growth over all points."""
    return growth(points).exponent


def print_scaling(title: str, unit: str, points: Sequence[Point], size_name: str) -> None:
    """Print the costs by size as a table, with their growth where there are enough points for a fit."""
    print(f"{title}, by {size_name} [{unit}]")
    for point in points:
        print(f"  {point.size:>8,.0f}  {point.cost:,.4g}")
    if len(points) >= MIN_POINTS and min(point.cost for point in points) > 0:
        print(f"  {growth(points)}", flush=True)


def print_ratio(metric: str, hollow: float, real: float) -> None:
    """Print a metric of hollow schedulers relative to that of as many real processes."""
    ratio = hollow / real if real else float("nan")
    print(f"  validation, {metric}: hollow {hollow:,.4g}, real {real:,.4g}, ratio {ratio:.2f}", flush=True)
