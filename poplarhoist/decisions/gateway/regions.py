"""What it costs in time to cross from one region to another."""

from poplarhoist.decisions.gateway.limits import CROSS_REGION_RTT_S
from poplarhoist.decisions.gateway.state import GatewayState


def cross_region_s(state: GatewayState, zone: str) -> float:
    """Return the round trip in seconds from this entry to a zone; 0 within its region."""
    if state.regions.get(zone) == state.regions.get(state.zone):
        return 0.0
    return CROSS_REGION_RTT_S
