"""Prometheus metrics of an entry."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

COUNTERS = {
    "refused": ("Requests refused", ("reason", "step")),
    "ask_withdrawn": ("Asks for adapters withdrawn", ()),
    "team_refused": ("Requests of known teams refused", ("team", "reason")),
    "retry": ("Attempts repeated", ("cause",)),
    "attempt_ended": ("Attempts ended", ("outcome",)),
    "crossing_bytes": ("Bytes of requests and answers between regions", ("direction",)),
    "endpoint_death": ("Requests that were running when their endpoint died", ()),
    "isolation": ("Steps of requests that may only run alone", ("step",)),
    "load_ended": ("Loads ended", ("outcome",)),
    "intent_write_failed": ("Writes of intents without success", ("status",)),
    "grant_dropped": ("Grants dropped", ("cause",)),
    "page_rejected": ("Configuration pages rejected", ()),
    "revision_rejected": ("Configuration revisions that are not well formed", ()),
    "member_malformed": ("Listed members that cannot be read", ("kind",)),
    "peer_message_sent": ("Messages to other entries", ("type",)),
    "peer_message_dropped": ("Messages of peers dropped", ("cause",)),
    "run_recorded": ("Last values recorded of calls that must not repeat", ("stage",)),
    "run_record_lost": ("Last values of such calls that could not be recorded", ("stage",)),
    "run_record_malformed": ("Records of such calls that could not be read", ()),
    "run_answer_not_kept": ("Answers too large for a record", ()),
    "run_swept": ("Old records deleted", ()),
    "platform_call": ("Calls to the platform", ("kind", "status")),
    "platform_bytes": (
        "Bytes of the platform's responses, also of those that broke off",
        ("kind",),
    ),
    "peer_bytes": ("Bytes sent to peers", ("crossing",)),
    "cancel_failed": ("Streams that could not be cancelled at their endpoint", ()),
    "endpoint_taken_out": ("Endpoints taken out of use for a while", ("cause",)),
    "request_unreadable": ("Requests of callers that cannot be read", ("status",)),
    "response_past_bound": ("Responses of endpoints past a bound, or unclear", ("bound",)),
    "endpoint_limit": ("Changes of the limits that endpoints name", ("change",)),
    "suspect_refused": ("Requests' contents and parts found to crash engines", ("kind",)),
    "order_ended": ("Orders to engines ended", ("status",)),
    "endpoint_brittle": ("Endpoints that became brittle, or sound again", ("change",)),
    "endpoint_told_full": ("Responses of endpoints that are full", ("kind",)),
    "links_changed": ("Losses and returns of this entry's links to endpoints", ("change",)),
    "relayed": ("Requests that other entries were to pass on", ()),
    "lead_silent": ("Leads of engines that did not answer", ()),
    "connection_opened": ("New connections to endpoints", ("purpose",)),
    "connection_reused": ("Uses of kept connections to endpoints", ("purpose",)),
    "connection_dropped": ("Connections to endpoints not kept, or no longer", ("reason",)),
    "quota_granted": ("Tokens granted as keeper or secondary", ("team",)),
    "quota_refused": ("Tokens not granted as keeper or secondary", ("team",)),
    "quota_forfeited": ("Tokens granted to this entry that expired", ("team",)),
    "quota_unanswered": ("Asks for tokens without an answer", ("role",)),
    "hedge_sent": ("Second attempts sent beside slow ones", ()),
    "hedge_ended": ("Second attempts ended", ("result",)),
    "hedge_not_sent": ("Second attempts that were due and not sent", ("reason",)),
    "hedge_extra_seconds": ("Seconds of attempts that another one made useless", ()),
    "no_room": ("Requests refused as an entry has no memory for them", ("kind",)),
    "connection_evicted": ("Connections closed for others when memory was short", ("phase",)),
    "stream_resumed": ("Streams resumed on a new connection", ("result",)),
}

HISTOGRAMS = {
    "request_seconds": ("Time from a request's arrival to its end", ("kind", "outcome")),
    "first_byte_seconds": ("Time from a request's arrival to the first byte", ("kind",)),
    "endpoint_pace": ("Work time at endpoints, in multiples of the usual one", ("kind",)),
    "wait_seconds": ("Time from a request's arrival to its first attempt", ("kind",)),
}
# Latency targets of the known deployments are between 0.3 s and 1 s, limits between 1.5 s and 15 s.
DURATION_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.0, 1.5, 2.5, 4.0, 6.0, 10.0, 15.0)


class Metrics:
    """Counters, histograms and gauges by name, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.counters = {
            name: Counter(f"poplarhoist_{name}", text, labels, registry=self.registry)
            for name, (text, labels) in COUNTERS.items()
        }
        self.histograms = {
            name: Histogram(
                f"poplarhoist_{name}",
                text,
                labels,
                registry=self.registry,
                buckets=DURATION_BUCKETS_S,
            )
            for name, (text, labels) in HISTOGRAMS.items()
        }
        self.revision = Gauge(
            "poplarhoist_revision", "Configuration revision in force", registry=self.registry
        )

    def totals_by_first_label(self, name: str) -> dict[str, float]:
        """Return the totals of a counter by its first label, summed over the other labels."""
        first_label = COUNTERS[name][1][0]
        totals: dict[str, float] = {}
        for sample in next(iter(self.counters[name].collect())).samples:
            if sample.name.endswith("_total"):
                key = sample.labels[first_label]
                totals[key] = totals.get(key, 0.0) + sample.value
        return totals

    def count(self, name: str, labels: tuple[str, ...] = (), amount: float = 1.0) -> None:
        """Increase a counter."""
        counter = self.counters[name]
        if labels:
            counter = counter.labels(*(str(label) for label in labels))
        counter.inc(amount)

    def observe(self, name: str, labels: tuple[str, ...], seconds: float) -> None:
        """Add a duration in seconds to a histogram."""
        self.histograms[name].labels(*(str(label) for label in labels)).observe(seconds)
