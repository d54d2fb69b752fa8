"""Settings and shared constants of the gateway's decisions, with their units and sources.

The data sheet is the users' description of the performance of their engines; the site file is their
description of a site with its engines.
"""

from attrs import frozen


@frozen
class GatewayLimits:
    """Settings of the decisions; the site's settings replace the defaults.

    Attributes
    ----------
    stop_grace_s : float
        Longest graceful stop in seconds; the platform kills the process after that.
    retry_ratio, retry_slack, retry_window_s : float
        Retries that a service may get over all entries within a window of `retry_window_s` seconds:
        `retry_ratio` times its requests, plus `retry_slack`.
    lease_s : float
        Seconds that a new lead waits before its first order, so that orders of two leads never
        interleave at an engine.
    version_deadline_s : float
        Seconds after the announcement of an adapter version from which on no request may start on
        an older one.
    engines_check_epochs : bool
        Whether engines reject orders that carry the epoch of an earlier lead, as the site's
        settings state. No decision depends on it; a new lead waits for `lease_s` in either case.
    keep_connections : bool
        Whether connections to endpoints are kept for what may run twice.
    quota_window_s, quota_over, quota_slack : float
        The rule on quotas of teams: within a window of `quota_window_s` seconds, endpoints get at
        most rate times window plus burst of a team, times one plus `quota_over`, plus `quota_slack`.
    hedge_ratio : float
        Share of a service's requests that may get a second attempt beside a slow one, within a
        window of `retry_window_s`; 0 for none.
    """

    stop_grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    lease_s: float = 3.0
    version_deadline_s: float = 5.0
    engines_check_epochs: bool = True
    keep_connections: bool = False
    quota_window_s: float = 8.0
    quota_over: float = 0.1
    quota_slack: float = 110_000.0
    hedge_ratio: float = 0.0


# Factor on the retry budget; the rest covers entries that do not see each other and so divide the
# budget by too small a number of entries.
RETRY_BUDGET_SAFETY_FACTOR = 0.8
# Seconds after the store becomes available again in which running endpoints register again; until
# then an endpoint is kept although its record is missing. Part of the store's contract.
REREGISTRATION_S = 2.0
# Seconds without an event after which this process counts as paused; ticks come every 25 ms.
PAUSE_THRESHOLD_S = 1.0
# Prompt tokens that an engine prefills per second. The data sheet says 38,700; decode steps of
# other requests, one after every 2,048 tokens, take the rest.
PREFILL_TOKENS_PER_S = 34000.0
# Seconds of one decode step, also the unit of the latency that a running request adds to the
# others; from the data sheet and the site file.
DECODE_STEP_S = 0.0055
# Seconds added to a request that runs in another region: one round trip between regions.
CROSS_REGION_RTT_S = 0.06
# Seconds from a load order until the adapter is usable, fetched from the weight store or reloaded
# from the engine's warm cache; from the data sheet.
COLD_LOAD_S = 0.25
WARM_LOAD_S = 0.025
# Adapters in an engine's warm cache, which keeps those evicted from their slots in memory; from the
# site file.
MAX_WARM_ADAPTERS = 48
# Adapters that one engine may load at the same time; part of the engines' protocol.
MAX_CONCURRENT_LOADS = 4
# Age in seconds that an engine's report can have; part of the engines' protocol.
REPORT_LAG_S = 0.3
# Seconds after which an unanswered order can no longer take effect; engines carry out delayed
# orders for up to 12 s.
LOST_ORDER_EXPIRY_S = 12.5
# Seconds after which an unanswered Ask is sent again, and the number of attempts after which the
# lead counts as silent; the interval is twice the longest round trip plus a scheduling delay.
ASK_RETRY_S = 0.2
ASK_ATTEMPTS = 3
# Seconds for which a silent entry gets no further Ask.
SILENT_PEER_BACKOFF_S = 5.0
# Seconds between two Use messages about the same engine; traffic between zones is billed.
USAGE_INTERVAL_S = 0.1
# Prompt tokens waiting at an engine above which its lead informs all entries, including those
# without requests there, which would otherwise send more; about 0.2 s of prefill.
BACKLOG_BROADCAST_TOKENS = 8000
# Number of entries beyond which that grows in proportion, and its largest factor: the cost of a
# message to all grows with their number, while each of them needs it more rarely.
FULL_BROADCAST_ENTRIES = 96
MAX_BROADCAST_TOKENS_FACTOR = 2.0
# Seconds between two of these broadcasts; with many entries they are sent less often.
BACKLOG_BROADCAST_INTERVAL_S = 0.25
# Number of entries up to which messages are sent at their full rate. With more entries the interval
# grows, so that the messages of one entry do not grow with the number of entries.
FULL_RATE_ENTRIES = 12
# Seconds for which a Use message stays valid.
USAGE_STALE_S = 4.0
# Seconds for which an endpoint is avoided for each failed connection attempt in a row, and their
# maximum.
AVOID_BACKOFF_S = 1.0
MAX_AVOID_BACKOFF_S = 4.0
# Seconds for which an adapter must be unused before it may be evicted; covers the time until
# another entry's Use message arrives.
MIN_IDLE_S = 0.25
# Seconds for which an adapter that an entry asked for is kept for the requests of that entry.
RESERVATION_S = 0.35
