"""Linear fits, memory sizes, and the growth of costs with the size of a site."""

import pytest

from poplarhoist.cli.load import main
from poplarhoist.context import Environment
from poplarhoist.load.deepsize import deep_size
from poplarhoist.load.dimensions import Dimension, with_adapters, with_bases
from poplarhoist.load.fit import fit_line
from poplarhoist.load.slopes import measure_slopes


@pytest.mark.parametrize(
    ("values", "slope", "intercept", "residual"),
    [
        ((3.0, 5.0, 7.0), 2.0, 1.0, 0.0),
        ((4.0, 4.0, 4.0), 0.0, 4.0, 0.0),
        ((0.0, 3.0, 0.0), 0.0, 1.0, 2**0.5),
    ],
)
def test_fit(values, slope, intercept, residual):
    line = fit_line((1.0, 2.0, 3.0), values)
    assert (line.slope, line.intercept) == pytest.approx((slope, intercept))
    assert line.residual == pytest.approx(residual)
    assert line.value_at(2.0) == pytest.approx(intercept + 2.0 * slope)


def test_deep_size_counts_shared_data_once_and_no_code():
    text = "x" * 1000
    assert deep_size([text, text]) < deep_size([text, text + "y"])
    assert deep_size([print, str]) == deep_size([len, int])


@pytest.mark.parametrize(
    ("dimension", "role", "cost"),
    [
        (Dimension("adapters", (10, 200, 400), with_adapters), "lead", "state config"),
        (Dimension("bases", (1, 2, 3), with_bases), "all", "platform put"),
    ],
)
def test_costs_grow_with_their_dimension(dimension, role, cost):
    slopes = {(slope.role, slope.cost): slope for slope in measure_slopes(dimension)}
    slope = slopes[role, cost]
    assert len(slope.values) == 3
    assert slope.line.slope > 0.0
    assert slope.line.residual < max(slope.values)


def test_the_command_prints_slopes(capsys, tmp_path):
    out = tmp_path / "slopes.json"
    assert main(["slopes", "--dimension", "bases", "--out", str(out)], Environment()) == 0
    assert "| bases" in capsys.readouterr().out
    assert out.stat().st_size > 0
