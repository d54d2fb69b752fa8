"""Fault matrix: every fault at every step, and samples of pairs and repeated faults."""

import itertools
import os
import random

import pytest

from tests.matrix import FAULTS, STEPS, run_cell

PAIR_CELL_COUNT = 60
TWICE_CELL_COUNT = 40
UNFENCED_CELL_COUNT = 60
OCCURRENCE_COUNT = 6
SEED = int(os.environ.get("MATRIX_SEED", "0"))
SCALE = int(os.environ.get("MATRIX_SCALE", "1"))

# Reason by cell (step, fault) for cells that cannot occur. Any other cell fails if its step does
# not occur.
UNREACHABLE_CELLS: dict[tuple[str, str], str] = {}

SINGLE_FAULT_CELLS = [
    cell for cell in itertools.product(STEPS, FAULTS) if cell not in UNREACHABLE_CELLS
]


def sample_cells(count: int, salt: str) -> list[tuple[str, str, str, int]]:
    """Return random cells: step, two faults and occurrence. The same seed gives the same cells."""
    rng = random.Random(f"{SEED}/{salt}")
    steps, faults = list(STEPS), list(FAULTS)
    return [
        (
            rng.choice(steps),
            rng.choice(faults),
            rng.choice(faults),
            rng.randrange(OCCURRENCE_COUNT),
        )
        for _ in range(count * SCALE)
    ]


def assert_no_violations(scenario) -> None:
    """Assert that the faults were injected and no invariant was violated."""
    assert scenario.injection_count, "the step did not occur"
    assert scenario.checker.violations == []


def test_every_request_is_served_without_faults():
    scenario = run_cell("accept", ())
    assert_no_violations(scenario)
    refused = [a for a in scenario.sim.requests_by_id.values() if a.refusal is not None]
    assert {a.refusal.reason for a in refused} <= {"run-in-progress"}


@pytest.mark.parametrize(("step", "fault"), SINGLE_FAULT_CELLS)
def test_single_fault_at_each_step(step, fault):
    assert_no_violations(run_cell(step, (fault,)))


@pytest.mark.parametrize(
    ("step", "first", "second", "occurrence"), sample_cells(PAIR_CELL_COUNT, "pairs")
)
def test_two_faults_at_one_step(step, first, second, occurrence):
    assert_no_violations(run_cell(step, (first, second), seed=occurrence, occurrence=occurrence))


@pytest.mark.parametrize(
    ("step", "fault", "_", "occurrence"), sample_cells(TWICE_CELL_COUNT, "twice")
)
def test_same_fault_twice(step, fault, _, occurrence):
    assert_no_violations(
        run_cell(step, (fault,), seed=occurrence, occurrence=occurrence, max_injections=2)
    )


@pytest.mark.parametrize(
    ("step", "first", "second", "occurrence"), sample_cells(UNFENCED_CELL_COUNT, "unchecked")
)
def test_two_faults_without_endpoint_fencing(step, first, second, occurrence):
    assert_no_violations(
        run_cell(
            step, (first, second), checks_fencing=False, seed=occurrence, occurrence=occurrence
        )
    )
