"""Estimates how long work takes at each endpoint, in multiples of what is usual for its service.

The estimates are used only for endpoints that tell their pace, the fourth figure of their load. An
entry among many gets a response of one endpoint every few seconds. A pace changes many times in
that time, so that a single reading says little of the next request; what an entry can learn is the
endpoint's base speed. Each estimate therefore is a mean with a weight that fades with time, and a
prior that takes the place of what has faded:

- the pace over about a second fades to the endpoint's mean pace over a minute,
- that mean fades to the usual pace, 1.0,
- what own results took beyond this, over a minute, fades to 1.0 too.
"""

from __future__ import annotations

import math

from attrs import define, field, frozen

from poplarhoist.decisions.gateway.models import EndpointLoad

# Time constants in seconds: of the present pace, and of an endpoint's base speed. An entry among 70
# gets a result of each of 6 endpoints about every ten seconds.
PRESENT_S = 1.0
BASE_S = 60.0
# Seconds until a pace is independent of an earlier reading. Readings closer to each other share
# their weight, so that a burst of responses does not count as many readings.
READING_S = 0.1
# Weights of the priors, in samples. A reading says little of the present pace, as it lasts for less
# time than most requests.
PRESENT_PRIOR = 4.0
BASE_PRIOR = 4.0
RESULT_PRIOR = 2.0
# Bounds of a reading or a result against what is usual, so that a stray one does not decide alone.
MIN_SAMPLE = 0.1
MAX_SAMPLE = 10.0
# Seconds over which the usual work time and load of a service are averaged.
USUAL_S = 20.0
# Work time in seconds of a plain service before the first result.
USUAL_WORK_PRIOR_S = 0.1
# Seconds for which an endpoint counts as full that said so; later its queue may be gone.
FULL_FRESH_S = 0.5
# Seconds over which an engine's results teach the reading rate and the latency for each request.
ENGINE_S = 60.0
# Weight of the constants in `limits` beside these results, in squared seconds: that of ten requests
# for which 0.2 s were expected.
ENGINE_PRIOR_S2 = 10 * 0.2**2
# Longest known queue, as a share of a request's own prefill, with which its result still counts. A
# queue is known poorly: with it, a trial of queued engines learned a third of the time they take.
MAX_QUEUE_SHARE = 0.25
# Bounds of what engines take against these constants.
MIN_ENGINE_RATIO = 0.25
MAX_ENGINE_RATIO = 4.0


@define
class FadingMean:
    """A weighted mean of samples whose weights fade with the time since they were taken."""

    time_constant_s: float
    value: float = 0.0
    weight: float = 0.0
    at: float = float("-inf")

    def weight_at(self, at: float) -> float:
        """Return the samples' weight that is left."""
        if not self.weight:
            return 0.0
        return self.weight * math.exp(min(0.0, self.at - at) / self.time_constant_s)

    def add(self, sample: float, at: float, weight: float = 1.0) -> None:
        """Add a sample."""
        total = self.weight_at(at) + weight
        if total > 0.0:
            self.value += weight / total * (sample - self.value)
        self.weight, self.at = total, at

    def estimate(self, at: float, prior: float, prior_weight: float) -> float:
        """Return the mean of what is left of the samples, and a prior."""
        weight = self.weight_at(at)
        return (prior * prior_weight + self.value * weight) / (prior_weight + weight)


@define
class EngineTimes:
    """Learns how engines' times to the first event relate to what the constants expect.

    Fits result = prefill ratio x expected prefill + latency ratio x expected latency, by least
    squares over results that fade, with a prior of 1.0 for both ratios.
    """

    prefill_2: float = 0.0
    latency_2: float = 0.0
    both: float = 0.0
    prefill_result: float = 0.0
    latency_result: float = 0.0
    at: float = float("-inf")
    prefill_ratio: float = 1.0
    latency_ratio: float = 1.0

    def add(self, forecast: Forecast, result_s: float, at: float) -> None:
        """Add a result."""
        kept = math.exp(min(0.0, self.at - at) / ENGINE_S)
        prefill_s, latency_s = forecast.prefill_s, forecast.latency_s
        self.prefill_2 = self.prefill_2 * kept + prefill_s * prefill_s
        self.latency_2 = self.latency_2 * kept + latency_s * latency_s
        self.both = self.both * kept + prefill_s * latency_s
        self.prefill_result = self.prefill_result * kept + prefill_s * result_s
        self.latency_result = self.latency_result * kept + latency_s * result_s
        self.at = at
        first, second = self.prefill_2 + ENGINE_PRIOR_S2, self.latency_2 + ENGINE_PRIOR_S2
        first_result = self.prefill_result + ENGINE_PRIOR_S2
        second_result = self.latency_result + ENGINE_PRIOR_S2
        # Positive, as the prior is added to both squares.
        determinant = first * second - self.both * self.both
        prefill_ratio = (first_result * second - second_result * self.both) / determinant
        latency_ratio = (second_result * first - first_result * self.both) / determinant
        self.prefill_ratio = min(MAX_ENGINE_RATIO, max(MIN_ENGINE_RATIO, prefill_ratio))
        self.latency_ratio = min(MAX_ENGINE_RATIO, max(MIN_ENGINE_RATIO, latency_ratio))


@frozen
class Forecast:
    """What the constants expect of a request to an engine of usual pace, in seconds.

    Attributes
    ----------
    prefill_s : float
        Prefill of its own prompt.
    queue_s : float
        Prefill of the prompts before it, as far as this entry knows of them.
    latency_s : float
        What the running requests add.
    """

    prefill_s: float
    queue_s: float
    latency_s: float


@define
class ServicePace:
    """What this entry has learned of a service whose endpoints tell their pace.

    Attributes
    ----------
    work_s : FadingMean
        Seconds from sending to the first byte at a plain endpoint.
    load : FadingMean
        Running and waiting requests of each slot, as endpoints told.
    """

    work_s: FadingMean = field(factory=lambda: FadingMean(USUAL_S))
    load: FadingMean = field(factory=lambda: FadingMean(USUAL_S))
    engine_times: EngineTimes = field(factory=EngineTimes)

    def usual_work_s(self) -> float:
        """Return the usual work time."""
        return self.work_s.value if self.work_s.weight else USUAL_WORK_PRIOR_S


@define
class PaceState:
    """What this entry knows of the pace of a run of an endpoint.

    Attributes
    ----------
    service : ServicePace or None
        What is known of its service; None until the endpoint tells its pace.
    slots : int
        Requests that it runs at once, as it told; 0 if unknown.
    told_at : float
        When it last told its pace.
    present, base : FadingMean
        Its told pace over the last second, and over the last minute.
    results : FadingMean
        Own results against what the service usually takes at its base pace.
    full_until : float
        Until this time it counts as full.
    """

    service: ServicePace | None = None
    slots: int = 0
    told_at: float = float("-inf")
    present: FadingMean = field(factory=lambda: FadingMean(PRESENT_S))
    base: FadingMean = field(factory=lambda: FadingMean(BASE_S))
    results: FadingMean = field(factory=lambda: FadingMean(BASE_S))
    full_until: float = float("-inf")

    @property
    def is_told(self) -> bool:
        """Whether the endpoint has told its pace, without which no estimate is used."""
        return self.service is not None


def on_load(pace: PaceState, service: ServicePace, load: EndpointLoad, at: float) -> None:
    """Apply what a response says of the load and the pace of an endpoint.

    Nothing is applied before a pace was told.
    """
    if load.pace is not None:
        sample = min(MAX_SAMPLE, max(MIN_SAMPLE, load.pace))
        weight = 1.0 if not pace.is_told else -math.expm1((pace.told_at - at) / READING_S)
        pace.present.add(sample, at, weight)
        pace.base.add(sample, at, weight)
        pace.told_at = at
        pace.service = service
    if not pace.is_told:
        return
    pace.slots = load.slots or pace.slots
    if load.running < 0 or not pace.slots:
        return
    service.load.add((load.running + max(0, load.waiting)) / pace.slots, at)
    is_full = load.running >= pace.slots and load.waiting >= pace.slots
    pace.full_until = at + FULL_FRESH_S if is_full else float("-inf")


def on_turned_away(pace: PaceState, load: EndpointLoad, at: float) -> None:
    """Apply that an endpoint turned a request away: it is full if all its slots are in use."""
    if pace.is_told and load.running >= pace.slots > 0:
        pace.full_until = at + FULL_FRESH_S


def is_full(pace: PaceState, at: float) -> bool:
    """Return whether an endpoint has told lately that it is full."""
    return at < pace.full_until


def base_factor(pace: PaceState, at: float) -> float:
    """Return the mean factor that an endpoint told over the last minute."""
    return pace.base.estimate(at, 1.0, BASE_PRIOR)


def result_factor(pace: PaceState, at: float) -> float:
    """Return how much longer own results took than the told pace explains."""
    return pace.results.estimate(at, 1.0, RESULT_PRIOR)


def factor(pace: PaceState, at: float) -> float:
    """Return how long work takes at an endpoint now, in multiples of what is usual.

    It is 1.0 for an endpoint that does not tell its pace.
    """
    if not pace.is_told:
        return 1.0
    present = pace.present.estimate(at, base_factor(pace, at), PRESENT_PRIOR)
    return present * result_factor(pace, at)


def record_plain_result(pace: PaceState, result_s: float, at: float) -> None:
    """Learn from the seconds that a request to a plain endpoint took until its first byte."""
    service = pace.service
    if service is None:
        return
    service.work_s.add(result_s, at)
    record_ratio(pace, result_s, service.usual_work_s() * base_factor(pace, at), at)


def record_engine_result(pace: PaceState, forecast: Forecast, result_s: float, at: float) -> None:
    """Learn from the seconds that a request to an engine took until its first event."""
    service = pace.service
    if service is None or forecast.queue_s > MAX_QUEUE_SHARE * forecast.prefill_s:
        return
    expected_s = engine_s(pace, forecast.prefill_s, forecast.latency_s, at)
    # The ratios of the service are those of an engine of usual pace.
    service.engine_times.add(forecast, result_s / factor(pace, at), at)
    record_ratio(pace, result_s, expected_s / result_factor(pace, at), at)


def record_ratio(pace: PaceState, result_s: float, expected_s: float, at: float) -> None:
    """Record a result against what is expected without earlier results."""
    if expected_s > 0.0:
        pace.results.add(min(MAX_SAMPLE, max(MIN_SAMPLE, result_s / expected_s)), at)


def engine_s(pace: PaceState, prefill_s: float, latency_s: float, at: float) -> float:
    """Return the seconds that an engine needs for what takes these by the constants.

    Without a told pace that is their sum.
    """
    if pace.service is None:
        return prefill_s + latency_s
    times = pace.service.engine_times
    seconds = times.prefill_ratio * prefill_s + times.latency_ratio * latency_s
    return seconds * factor(pace, at)


def log_fields(pace: PaceState, at: float) -> dict[str, object]:
    """Return log fields with the pace that is believed, and the age of what was last told."""
    if not pace.is_told:
        return {}
    return {"pace": round(factor(pace, at), 3), "pace_age_s": round(at - pace.told_at, 2)}
