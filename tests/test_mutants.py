"""The matrix bites: it fails whenever one protection is broken."""

import pytest

from tests.matrix import run_cell
from tests.mutants import MUTANTS, Cell


def broken_in(cell: Cell) -> list[str]:
    """Return what was broken in a cell."""
    scene = run_cell(cell.step, cell.faults, cell.checks_fencing, skip=cell.skip)
    assert scene.strikes, f"the step of {cell} did not happen"
    return scene.invariants.broken


@pytest.mark.parametrize("name", MUTANTS)
def test_a_broken_protection_is_noticed(name, monkeypatch, record_property):
    breaks, cells = MUTANTS[name]
    assert [broken_in(cell) for cell in cells] == [[]] * len(cells)
    breaks(monkeypatch)
    noticed = [text for cell in cells for text in broken_in(cell)]
    record_property("caught", f"{name}: {noticed[:1]}")
    assert noticed, f"no cell noticed that {name} was broken"
    print(f"mutant {name} caught: {noticed[0]}")
