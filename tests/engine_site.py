"""Entries and a service of engines on a virtual clock; engines crash, or name limits."""

import heapq
import itertools
import random
from collections.abc import Callable

from attrs import define, evolve, field

from poplarhoist.decisions.gateway import effects as fx
from poplarhoist.decisions.gateway import events as ev
from poplarhoist.decisions.gateway.models import (
    AdapterKey,
    EndpointRecord,
    PrefixSegment,
    Prompt,
    Refused,
)
from tests.gateway import Gateway, effects_of, engine, route

# Seconds from a dispatch to the engine, from there to the head of the response, and to its end.
SEND_S = 0.005
HEAD_S = 0.15
RUN_S = 1.5
# Seconds until a crashed engine is back, and until the record of its earlier run is gone.
RESTART_S = 2.0
RECORD_EXPIRY_S = 3.6
# Seconds that a message between entries takes.
MESSAGE_S = 0.001
# Seconds until an entry gives up a connection that is not established, and until a probe does.
CONNECT_TIMEOUT_S = 1.2
PROBE_TIMEOUT_S = 0.45
TICK_S = 0.025
# The route of all requests; its streams may be resumed.
ROUTE = route("/resume/", resumable=True, max_attempts=3)


@define
class EngineRun:
    """One run of an engine, from its start to its crash.

    Attributes
    ----------
    attempts : dict
        Parts of the prompt and number of the attempt, by entry and request, of those that run.
    arrivals : list
        When a request reached it, and from which entry.
    requests_per_s : float or None
        Limit that its responses name.
    told_at : dict
        When an entry first got a response that named a limit.
    busy_until : float
        Until this time it turns requests away, and says for how long.
    turned_away : list
        When it turned a request away, of which entry, and when it wants requests again.
    bears_per_s, waiting_room : float or None, int
        Requests that it bears to turn away in a second; None if it is sound. Requests that it lets
        wait beyond its slots while it is brittle.
    had_no_room : list
        When it turned a request away for want of room.
    is_leaving, told_leaving_at : bool, dict
        Whether its responses say that it is stopping, and when an entry first got one of these.
    """

    record: EndpointRecord
    is_alive: bool = True
    attempts: dict[tuple[str, str], tuple[int, tuple[str, ...]]] = field(factory=dict)
    started: set[tuple[str, str]] = field(factory=set)
    arrivals: list[tuple[float, str]] = field(factory=list)
    requests_per_s: float | None = None
    told_at: dict[str, float] = field(factory=dict)
    busy_until: float = float("-inf")
    turned_away: list[tuple[float, str, float]] = field(factory=list)
    bears_per_s: float | None = None
    waiting_room: int = 1
    had_no_room: list[float] = field(factory=list)
    is_leaving: bool = False
    told_leaving_at: dict[str, float] = field(factory=dict)


@define
class SentRequest:
    """A caller's request and what became of it.

    Attributes
    ----------
    reached_at : list
        When it reached an engine, for each attempt.
    is_begun : bool
        Whether its first attempt delivered the beginning of a response.
    fields : dict
        What else the caller sent.
    """

    at: float
    entry: str
    parts: tuple[str, ...]
    fields: dict = field(factory=dict)
    reached_at: list[float] = field(factory=list)
    refused: Refused | None = None
    refused_at: float = 0.0
    retry_after_s: float = 0.0
    is_begun: bool = False
    is_done: bool = False


class EngineSite:
    """Entries that exchange messages, and engines that all hold the adapter a1.

    Attributes
    ----------
    crashing_parts : set
        Parts of a prompt that crash each engine which begins a response on it.
    sends_head : bool
        Whether the head of a response gets out before its engine crashes.
    cut_off, lost_share : set, float
        Entries whose messages to and from others are lost, and share of all messages that are.
    crashed_at_by_part : dict
        When engines crashed under each of `crashing_parts`.
    fallen_at : list
        When engines fell over for want of room.
    without_links, cut_kind : set, str
        Entries that reach no engine, and what becomes of their connections: "refused", "hang", or
        "silent" if they are made and nothing comes back.
    relays : dict
        Entry and attempt for which another entry handles a request, by that entry and request.
    """

    def __init__(self, entry_count: int = 5, engine_count: int = 6, slots: int = 64) -> None:
        self.at = 0.0
        self.agenda: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count(1)
        self.crashing_parts: set[str] = set()
        self.sends_head = True
        self.cut_off: set[str] = set()
        self.lost_share = 0.0
        self.without_links: set[str] = set()
        self.cut_kind = "refused"
        self.relays: dict[tuple[str, str], tuple[str, fx.Dispatch]] = {}
        self.rng = random.Random(1)
        self.crashed_at_by_part: dict[str, list[float]] = {}
        self.fallen_at: list[float] = []
        self.requests: dict[tuple[str, str], SentRequest] = {}
        self.names = [f"entry-{number}" for number in range(1, entry_count + 1)]
        self.runs_by_name: dict[str, EngineRun] = {}
        self.entries: dict[str, Gateway] = {}
        for number in range(1, engine_count + 1):
            self.start_engine(engine(number, held=("a1",), max_concurrent_requests=slots))
        for name in self.names:
            self.start_entry(name)
        self.call_in(TICK_S, self.tick)

    def call_in(self, seconds: float, action: Callable[[], None]) -> None:
        """Carry out an action some seconds from now."""
        heapq.heappush(self.agenda, (self.at + seconds, next(self.numbers), action))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        ends_at = self.at + seconds
        while self.agenda and self.agenda[0][0] <= ends_at:
            self.at, _, action = heapq.heappop(self.agenda)
            action()
        self.at = ends_at

    def tick(self) -> None:
        """Tick at all entries."""
        for name in list(self.entries):
            self.submit(name, ev.Tick)
        self.call_in(TICK_S, self.tick)

    def start_entry(self, name: str) -> None:
        """Start an entry, which knows nothing of before, with all that the store holds."""
        entry = Gateway(name, tuple(peer for peer in self.names if peer != name))
        entry.state.started_at = entry.at = self.at
        entry.configure(routes=(ROUTE,))
        for peer in self.names:
            address = {"host": "10.0.2.1", "port": 7000, "relay_port": 9000}
            entry.submit(ev.EntryRecordChanged, name=peer, zone="north-a", **address)
        entry.list_endpoints(*(run.record for run in self.runs_by_name.values() if run.is_alive))
        self.entries[name] = entry

    def start_engine(self, record: EndpointRecord) -> None:
        """Start an engine and let it register."""
        self.runs_by_name[record.name] = EngineRun(record)
        for name in self.entries:
            self.submit(name, ev.EndpointSeen, record=record)

    def submit(self, name: str, kind: type, /, **fields) -> None:
        """Apply an event at an entry, and carry out its effects."""
        entry = self.entries[name]
        entry.at = self.at
        self.carry_out(name, entry.submit(kind, **fields))

    def carry_out(self, name: str, effects: list) -> None:
        """Carry out the effects of an entry."""
        for effect in effects_of(fx.SendPeer, effects):
            if effect.peer in self.entries and not {name, effect.peer} & self.cut_off:
                self.call_in(MESSAGE_S, lambda e=effect: self.deliver(name, e))
        for effect in effects_of(fx.Dispatch, effects):
            if effect.relay is not None:
                self.call_in(MESSAGE_S, lambda e=effect: self.reach_helper(name, e))
            elif name in self.without_links:
                self.cut_attempt(name, effect)
            else:
                self.call_in(SEND_S, lambda e=effect: self.reach_engine(name, e))
        for effect in effects_of(fx.WriteSoftwareRecord, effects):
            fields = {"service_version": effect.service_version, "status": ev.CallStatus.OK}
            self.submit(name, ev.SoftwareRecordWritten, **fields)
        for effect in effects_of(fx.ProbeEndpoint, effects):
            self.call_in(PROBE_TIMEOUT_S, lambda e=effect, at=self.at: self.end_probe(name, e, at))
        for effect in effects_of(fx.CheckEndpoint, effects):
            self.call_in(SEND_S, lambda e=effect: self.check_engine(name, e.record))
        for effect in effects_of(fx.Refuse, effects):
            if (name, effect.request_id) in self.relays:
                outcome = ev.Outcome.FAILED if effect.ran else ev.Outcome.NOT_RUN
                notice = ev.EndpointNotice(retry_after_s=effect.retry_after_s)
                self.end_relay(name, effect.request_id, outcome, notice=notice)
                continue
            request = self.requests[name, effect.request_id]
            request.refused, request.refused_at = effect.reason, self.at
            request.retry_after_s = effect.retry_after_s

    def deliver(self, sender: str, effect: fx.SendPeer) -> None:
        """Deliver a message, unless it is lost."""
        if self.rng.random() < self.lost_share:
            return
        self.submit(effect.peer, ev.PeerMessageReceived, sender=sender, message=effect.message)

    def check_engine(self, name: str, record: EndpointRecord) -> None:
        """Answer whether an engine still runs."""
        has_crashed = not self.runs_by_name[record.name].is_alive
        self.submit(name, ev.EndpointChecked, record=record, has_crashed=has_crashed)

    def send(self, name: str, *parts: str) -> SentRequest:
        """Let a caller send a request with these parts and one of its own; return it."""
        entry = self.entries[name]
        entry.at = self.at
        number = next(self.numbers)
        parts = (*parts, f"own-{number}")
        segments = tuple(PrefixSegment(part, 100) for part in parts)
        prompt = Prompt(AdapterKey("base", "a1"), 100 * len(parts) + 50, 50, segments)
        fields = {"prompt": prompt, "content_digest": f"content-{number}"}
        fields |= {"caller_id": f"c{number}"}
        request = SentRequest(self.at, name, parts, fields)
        request_id, effects = entry.request("/resume/x", **fields)
        self.requests[name, request_id] = request
        self.carry_out(name, effects)
        return request

    def send_steadily(self, interval_s: float, *parts: str) -> list[SentRequest]:
        """Send requests with these parts to all entries in turn from now on; return them."""
        requests: list[SentRequest] = []

        def send() -> None:
            requests.append(self.send(self.names[len(requests) % len(self.names)], *parts))
            self.call_in(interval_s, send)

        send()
        return requests

    def cut_attempt(self, name: str, dispatch: fx.Dispatch) -> None:
        """Let an attempt of an entry without links end as its connection does."""
        outcome = ev.Outcome.NOT_SENT
        delay_s = {"refused": SEND_S, "hang": CONNECT_TIMEOUT_S}.get(self.cut_kind)
        if delay_s is None:
            delay_s, outcome = dispatch.remaining_s, ev.Outcome.TIMED_OUT
        attempt = dispatch.request_id, dispatch.attempt
        self.call_in(delay_s, lambda: self.end(name, *attempt, outcome))

    def end_probe(self, name: str, effect: fx.ProbeEndpoint, began_at: float) -> None:
        """Let an entry learn whether it reached an engine."""
        is_reachable = name not in self.without_links
        fields = {"name": effect.record.name, "began_at": began_at, "is_reachable": is_reachable}
        self.submit(name, ev.EndpointProbed, **fields)

    def reach_helper(self, name: str, dispatch: fx.Dispatch) -> None:
        """Let a request arrive at the entry that is to pass it on."""
        helper = self.entries[dispatch.endpoint.name]
        helper.at = self.at
        request = self.requests[name, dispatch.request_id]
        helper.request_count += 1
        request_id = f"r{helper.request_count}"
        self.requests[helper.state.name, request_id] = request
        self.relays[helper.state.name, request_id] = name, dispatch
        fields = {"request_id": request_id, "host": "host.test", "path": "/resume/x"}
        fields |= {"deadline_s": dispatch.remaining_s, "relay": dispatch.relay}
        self.submit(helper.state.name, ev.RequestArrived, **fields, **request.fields)

    def end_relay(self, helper: str, request_id: str, outcome: ev.Outcome, **fields) -> None:
        """Let the entry that sent a request to another one learn its end."""
        name, dispatch = self.relays.pop((helper, request_id))
        self.end(name, dispatch.request_id, dispatch.attempt, outcome, **fields)

    def reach_engine(self, name: str, dispatch: fx.Dispatch) -> None:
        """Let an attempt reach its engine, which refuses the connection if it has crashed."""
        run = self.runs_by_name[dispatch.endpoint.name]
        if not run.is_alive:
            self.end(name, dispatch.request_id, dispatch.attempt, ev.Outcome.NOT_SENT)
            return
        request = self.requests[name, dispatch.request_id]
        request.reached_at.append(self.at)
        run.arrivals.append((self.at, name))
        if self.at < run.busy_until:
            run.turned_away.append((self.at, name, run.busy_until))
            notice = ev.EndpointNotice(retry_after_s=run.busy_until - self.at)
            request_id, attempt = dispatch.request_id, dispatch.attempt
            self.end(name, request_id, attempt, ev.Outcome.NOT_RUN, status=503, notice=notice)
            return
        if self.has_no_room(run):
            notice = ev.EndpointNotice(bears_per_s=run.bears_per_s)
            request_id, attempt = dispatch.request_id, dispatch.attempt
            self.end(name, request_id, attempt, ev.Outcome.NOT_RUN, status=503, notice=notice)
            self.fall_if_too_many(run)
            return
        run.attempts[name, dispatch.request_id] = (dispatch.attempt, request.parts)
        self.call_in(HEAD_S, lambda: self.begin_response(run, name, dispatch))

    def has_no_room(self, run: EngineRun) -> bool:
        """Return whether an engine has no room for another request, and count that."""
        if run.bears_per_s is None:
            return False
        room = run.record.max_concurrent_requests + run.waiting_room
        if len(run.attempts) < room:
            return False
        run.had_no_room.append(self.at)
        return True

    def fall_if_too_many(self, run: EngineRun) -> None:
        """Let an engine fall over if it had to turn too many requests away within a second."""
        recent = [at for at in run.had_no_room if at > self.at - 1.0]
        if run.is_alive and len(recent) > run.bears_per_s:
            self.fallen_at.append(self.at)
            self.crash_engine(run)

    def begin_response(self, run: EngineRun, name: str, dispatch: fx.Dispatch) -> None:
        """Let an engine begin a response, or crash at it."""
        key = name, dispatch.request_id
        if run.attempts.get(key, (0,))[0] != dispatch.attempt:
            return
        if name in self.without_links and self.cut_kind == "silent":
            return
        request = self.requests[key]
        crashing_parts = self.crashing_parts & set(request.parts[:-1])
        if crashing_parts:
            for part in crashing_parts:
                self.crashed_at_by_part.setdefault(part, []).append(self.at)
            framing = ev.Framing.CHUNKED if self.sends_head else ev.Framing.NONE
            self.crash_engine(run, {key: framing})
            return
        run.started.add(key)
        request.is_begun = request.is_begun or dispatch.attempt == 1
        if run.is_leaving:
            record = run.record
            self.submit(
                name,
                ev.EndpointSaidLeaving,
                name=record.name,
                incarnation=record.incarnation,
            )
        self.submit(
            name,
            ev.ResponseStarted,
            request_id=dispatch.request_id,
            attempt=dispatch.attempt,
            notice=ev.EndpointNotice(run.requests_per_s, bears_per_s=run.bears_per_s),
        )
        if run.is_leaving:
            run.told_leaving_at.setdefault(name, self.at)
        if run.requests_per_s is not None:
            run.told_at.setdefault(name, self.at)
        self.call_in(RUN_S, lambda: self.end_response(run, name, dispatch))

    def end_response(self, run: EngineRun, name: str, dispatch: fx.Dispatch) -> None:
        """Let an engine complete a response."""
        key = name, dispatch.request_id
        if run.attempts.get(key, (0,))[0] == dispatch.attempt:
            del run.attempts[key]
            self.requests[key].is_done = True
            self.end(name, dispatch.request_id, dispatch.attempt, ev.Outcome.DONE)
            if key in self.relays:
                self.end_relay(*key, ev.Outcome.DONE)

    def crash_engine(
        self, run: EngineRun, framing_by_key: dict[tuple[str, str], ev.Framing] | None = None
    ) -> None:
        """Let an engine crash: what it runs breaks off, and it comes back with another id."""
        run.is_alive = False
        self.break_attempts(run, framing_by_key or {})
        record = run.record
        self.call_in(RECORD_EXPIRY_S, lambda: self.remove_record(record.name))
        bears_per_s, waiting_room = run.bears_per_s, run.waiting_room
        restarted = evolve(record, name=f"{record.name}+", incarnation=record.incarnation + 1)

        def restart() -> None:
            self.start_engine(restarted)
            self.runs_by_name[restarted.name].bears_per_s = bears_per_s
            self.runs_by_name[restarted.name].waiting_room = waiting_room

        self.call_in(RESTART_S, restart)

    def break_attempts(
        self, run: EngineRun, framing_by_key: dict, entry_name: str | None = None
    ) -> None:
        """Break off what runs at an engine, of all entries or of one."""
        for key, (attempt, _) in list(run.attempts.items()):
            if entry_name not in (None, key[0]):
                continue
            del run.attempts[key]
            has_body = key in run.started
            framing = ev.Framing.CHUNKED if has_body else ev.Framing.NONE
            body_end = ev.BodyEnd(framing_by_key.get(key, framing), 500 if has_body else 0)
            self.end(*key, attempt, ev.Outcome.BROKEN, body_end=body_end, delivered=has_body)

    def end(self, name: str, request_id: str, attempt: int, outcome: ev.Outcome, **fields) -> None:
        """Let an attempt end."""
        self.submit(
            name,
            ev.AttemptEnded,
            request_id=request_id,
            attempt=attempt,
            outcome=outcome,
            connection_refused=outcome is ev.Outcome.NOT_SENT,
            **fields,
        )

    def remove_record(self, engine_name: str) -> None:
        """Let the record of an engine that crashed expire."""
        for name in self.entries:
            self.submit(name, ev.EndpointRemoved, name=engine_name)

    def alive_runs(self) -> list[EngineRun]:
        """Return the runs of engines that have not crashed."""
        return [run for run in self.runs_by_name.values() if run.is_alive]
