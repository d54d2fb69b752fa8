"""Linear regression of measured values."""

import statistics
from collections.abc import Sequence

from attrs import frozen


@frozen
class Line:
    """A fitted line and the distance of the points from it.

    Attributes
    ----------
    residual : float
        Root mean square of the points' distances, in the unit of the values.
    """

    slope: float
    intercept: float
    residual: float

    def value_at(self, size: float) -> float:
        """Return the fitted value at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Return the least-squares line through the values at the sizes.

    Raises
    ------
    StatisticsError
        If there are fewer than two sizes, or all are the same.
    """
    slope, intercept = statistics.linear_regression(sizes, values)
    squares = [
        (value - intercept - slope * size) ** 2 for size, value in zip(sizes, values, strict=True)
    ]
    return Line(slope, intercept, statistics.fmean(squares) ** 0.5)
