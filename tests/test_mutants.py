"""Mutation tests of the fault matrix: it must fail for each mutant, and pass without it."""

import pytest

from tests.matrix import run_cell
from tests.mutants import MUTANTS, Cell


def find_violations(cell: Cell) -> list[str]:
    """Run a cell and return the violations found."""
    scenario = run_cell(cell.step, cell.faults, cell.checks_fencing, occurrence=cell.occurrence)
    assert scenario.injection_count, f"the step of {cell} did not occur"
    return scenario.checker.violations


@pytest.mark.parametrize("name", MUTANTS)
def test_mutant_is_detected(name, monkeypatch, record_property):
    apply_mutation, cells = MUTANTS[name]
    assert [find_violations(cell) for cell in cells] == [[]] * len(cells)
    apply_mutation(monkeypatch)
    violations = [text for cell in cells for text in find_violations(cell)]
    record_property("caught", f"{name}: {violations[:1]}")
    assert violations, f"no cell detected that {name} was disabled"
    print(f"mutant {name} caught: {violations[0]}")
