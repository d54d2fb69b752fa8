"""Figures of the gateway's decisions, each with its unit and where it comes from."""

from attrs import frozen


@frozen
class GatewayLimits:
    """Settings of the decisions; the site's bounds replace the defaults.

    Attributes
    ----------
    stop_s : float
        Longest graceful stop; the platform kills the process then.
    retry_ratio, retry_slack, retry_window_s : float
        Repeats that a service may get over all entries in a window: a share of its requests, and
        a number on top.
    lease_s : float
        Time within which two entries must not order the same engine by turns.
    version_s : float
        Time after which no request may begin on an older version than the announced one.
    engines_check_epochs : bool
        Whether engines refuse orders of an earlier lead.
    """

    stop_grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    lease_s: float = 3.0
    version_deadline_s: float = 5.0
    engines_check_epochs: bool = True


# Share of the retry budget that is used; the rest covers entries that cannot count each other.
RETRY_BUDGET_SHARE = 0.8
# Seconds; a listed endpoint may be missing this long after the store's return (store contract).
REREGISTRATION_S = 2.0
# Seconds without a tick after which this process counts as paused; ticks come every 25 ms.
PAUSE_THRESHOLD_S = 1.0
# Prompt tokens that an engine reads in a second; the sheet's 38,700, less the steps of other
# requests in between, one after each 2,048 tokens.
PREFILL_TOKENS_PER_S = 34000.0
# Seconds that one decoding step takes and that each running request adds; sheet and site file.
DECODE_STEP_S = 0.0055
# Seconds added to a request that runs in another region; round trip between regions.
CROSS_REGION_RTT_S = 0.06
# Seconds from an order to the use of an adapter; sheet. Engines keep recent ones in memory.
COLD_LOAD_S = 0.25
WARM_LOAD_S = 0.025
# Adapters that an engine keeps in its memory; site file.
MAX_WARM_ADAPTERS = 48
# Adapters that may be on their way to one engine; protocol of the engines.
MAX_CONCURRENT_LOADS = 4
# Seconds; an engine's report is up to this old; protocol of the engines.
REPORT_LAG_S = 0.3
# Seconds until a late order can no longer arrive; engines carry lost orders out for up to 12 s.
LOST_ORDER_EXPIRY_S = 12.5
# Seconds after which an unanswered question to another entry is sent again, and how often
# before that entry counts as silent; twice the longest round trip and a scheduling delay.
ASK_RETRY_S = 0.2
ASK_ATTEMPTS = 3
# Seconds for which a silent entry is not asked again.
SILENT_PEER_BACKOFF_S = 5.0
# Seconds between two messages about the use of one engine; costs bytes between zones.
USAGE_INTERVAL_S = 0.1
# Prompt tokens waiting at an engine above which its lead tells all entries, also those that have
# nothing there and would send more; a fifth of a second of reading.
BACKLOG_BROADCAST_TOKENS = 8000
# Seconds between two such messages; with many entries they are sent more rarely.
BACKLOG_BROADCAST_INTERVAL_S = 0.25
# Entries at which messages go at their plain pace; more entries send more rarely, so that the
# messages of one entry do not grow with their number.
FULL_RATE_ENTRIES = 12
# Seconds for which a message about the use of an engine holds.
USAGE_STALE_S = 4.0
# Seconds for which an endpoint that failed to connect or broke off is avoided.
AVOID_BACKOFF_S = 1.0
MAX_AVOID_BACKOFF_S = 4.0
# Seconds for which an adapter must be unused before it makes way for another one; covers the time
# until another entry's message about its use arrives.
MIN_IDLE_S = 0.25
# Seconds for which an adapter that other entries asked for is kept for their requests.
RESERVATION_S = 0.35
