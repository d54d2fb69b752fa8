"""A short seeded soak of real entries, and seeds that once failed."""

import pytest

from tests.soak.run import soak

# Seeds played each time. 103: an entry that had just been started got the signal to read its
# settings before it had set its handlers, and ended.
SEEDS = [4, 103]


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_are_kept_through_a_storm_and_a_planned_act(seed):
    assert soak(seed, cycles=1) == []
