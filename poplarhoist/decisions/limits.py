"""Bounds and intervals that the decisions keep to."""

from attrs import frozen


@frozen
class Limits:
    """Bounds and intervals; those that end in ``_s`` are seconds.

    Attributes
    ----------
    lease_s : float
        A lead that has not renewed for so long may be replaced.
    lease_use_s : float
        A lead stops by its own clock so long after its last renewal was sent.
    lease_renew_s : float
        Time between renewals.
    order_s : float
        Longest time that an endpoint takes over an order.
    heartbeat_s, peer_timeout_s : float
        Time between heartbeats, and silence after which a peer counts as unreachable.
    poll_s, report_stale_s : float
        Time between polls of an endpoint by its watcher, and age of a report at which others
        poll for themselves.
    grant_idle_s : float
        Unused grants are handed back after so long.
    recall_again_s : float
        Time between recalls of a grant that was not handed back.
    store_loads_per_s : float
        Rate of the weight store.
    store_in_flight : int
        Loads that the store serves at once without slowing down.
    load_s : float
        Ordinary time of a load.
    retry_share : float
        Retries allowed as a share of fresh requests.
    retry_burst : float
        Retries allowed at once on top of that.
    attempts : int
        Attempts of one request at most.
    run_retention_s, run_sweep_s : float
        Time for which the record of a call that must not repeat is kept, and time in which the
        entries together look through all records for old ones.
    lead_missing_s : float
        Requests wait so long for a base model of which no lead is heard.
    caller_queue_share : float
        Share of the queue that one caller may fill.
    crossing_bytes_per_s : float
        Bytes a second that may cross to another region.
    crossing_price_s : float
        Wait that a request must save to be worth crossing.
    """

    lease_s: float = 3.0
    lease_use_s: float = 2.0
    lease_renew_s: float = 0.7
    order_s: float = 5.0
    heartbeat_s: float = 0.25
    peer_timeout_s: float = 1.5
    poll_s: float = 0.5
    report_stale_s: float = 1.5
    grant_idle_s: float = 20.0
    recall_again_s: float = 0.5
    store_loads_per_s: float = 4.0
    store_in_flight: int = 8
    load_s: float = 0.25
    retry_share: float = 0.1
    retry_burst: float = 32.0
    attempts: int = 4
    run_retention_s: float = 86_400.0
    run_sweep_s: float = 21_600.0
    lead_missing_s: float = 6.0
    caller_queue_share: float = 0.5
    crossing_bytes_per_s: float = 1_875_000.0
    crossing_price_s: float = 0.5
