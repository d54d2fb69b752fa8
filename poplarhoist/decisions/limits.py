"""Limits, timeouts and intervals of the decisions."""

from attrs import frozen


@frozen
class Limits:
    """Limits, timeouts and intervals; names that end in ``_s`` are in seconds.

    Attributes
    ----------
    lease_s : float
        Time without a renewal after which a lead may be replaced.
    lease_use_s : float
        Time after sending its last successful renewal at which a lead stops, by its own clock.
    lease_renew_s : float
        Interval between lease renewals.
    order_s : float
        Longest time that an endpoint takes to carry out a load or unload order.
    heartbeat_s : float
        Interval between heartbeats.
    peer_timeout_s : float
        Silence after which a peer counts as unreachable.
    poll_s : float
        Interval between polls of an endpoint by the entry that watches it.
    report_stale_s : float
        Age of an endpoint's report at which the other entries poll it themselves.
    grant_idle_s : float
        Time after which an unused grant is handed back.
    recall_resend_interval_s : float
        Interval between recalls of a grant that was not handed back.
    store_loads_per_s : float
        Rate limit of the weight store, in loads per second.
    store_in_flight : int
        Concurrent loads that the store serves without slowing down.
    load_s : float
        Expected duration of a load until one has been observed.
    retry_share : float
        Retries allowed as a share of new requests.
    retry_burst : float
        Retries allowed at once in addition to that share.
    attempts : int
        Maximum number of attempts of one request.
    run_retention_s : float
        Time for which the idempotency record of a non-idempotent call is kept.
    run_sweep_s : float
        Time in which the entries together look through all records for expired ones.
    lead_missing_s : float
        Time that requests wait for a base model without a known lead.
    caller_queue_share : float
        Share of the queue that one caller may fill.
    crossing_bytes_per_s : float
        Rate limit of traffic to other regions, in bytes per second.
    crossing_price_s : float
        Time that a request must have waited, or must expect to queue in its own region, before
        it may be sent to another region although this region has endpoints granted for it.
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
    recall_resend_interval_s: float = 0.5
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
