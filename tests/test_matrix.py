"""The fault matrix: every fault at every step, alone, in pairs and twice."""

import itertools
import os
import random

import pytest

from tests.matrix import FAULTS, STEPS, run_cell

PAIR_CELLS = 60
TWICE_CELLS = 40
UNCHECKED_CELLS = 60
MOMENTS = 6
SEED = int(os.environ.get("MATRIX_SEED", "0"))
SCALE = int(os.environ.get("MATRIX_SCALE", "1"))

# Steps that the work does not reach: none are allowed to be missed without a reason here.
CANNOT_HAPPEN: dict[tuple[str, str], str] = {}

SINGLE = [cell for cell in itertools.product(STEPS, FAULTS) if cell not in CANNOT_HAPPEN]


def sample(count: int, salt: str) -> list[tuple[str, str, str, int]]:
    """Return cells of two faults at a step, chosen by the seed."""
    chooser = random.Random(f"{SEED}/{salt}")
    steps, faults = list(STEPS), list(FAULTS)
    return [
        (
            chooser.choice(steps),
            chooser.choice(faults),
            chooser.choice(faults),
            chooser.randrange(MOMENTS),
        )
        for _ in range(count * SCALE)
    ]


def holds(scene) -> None:
    """The fault has struck and nothing was broken."""
    assert scene.strikes, "the step did not happen"
    assert scene.invariants.broken == []


def test_without_faults_every_request_is_served():
    scene = run_cell("accept", ())
    holds(scene)
    refused = [a for a in scene.bench.requests_by_id.values() if a.refusal is not None]
    assert {a.refusal.reason for a in refused} <= {"run-in-progress"}


@pytest.mark.parametrize(("step", "fault"), SINGLE)
def test_one_fault(step, fault):
    holds(run_cell(step, (fault,)))


@pytest.mark.parametrize(("step", "first", "second", "skip"), sample(PAIR_CELLS, "pairs"))
def test_two_faults(step, first, second, skip):
    holds(run_cell(step, (first, second), seed=skip, skip=skip))


@pytest.mark.parametrize(("step", "fault", "_", "skip"), sample(TWICE_CELLS, "twice"))
def test_same_fault_twice(step, fault, _, skip):
    holds(run_cell(step, (fault,), seed=skip, skip=skip, times=2))


@pytest.mark.parametrize(("step", "first", "second", "skip"), sample(UNCHECKED_CELLS, "unchecked"))
def test_endpoints_that_do_not_check_fencing(step, first, second, skip):
    holds(run_cell(step, (first, second), checks_fencing=False, seed=skip, skip=skip))
