"""Measures the cost of the decisions in a simulation: CPU time, bytes and memory."""

import gc
import itertools
import time

import attrs
import orjson
from attrs import define, field

from poplarhoist import wire
from poplarhoist.decisions import effects as fx
from poplarhoist.decisions.events import Event
from poplarhoist.decisions.reducer import reduce
from poplarhoist.decisions.state import State
from poplarhoist.load.deepsize import deep_size
from poplarhoist.replay.simulation import FakeEntry, Simulation

LEAD = "lead"
ENTRY = "entry"
CODEC_SAMPLE_INTERVAL = 20
MICROSECONDS_PER_S = 1e6


@define
class Cost:
    """Number of occurrences, and their CPU time in microseconds and bytes in total."""

    count: int = 0
    microseconds: float = 0.0
    bytes: int = 0


@define
class Sample:
    """Costs by role and kind over an interval of virtual time.

    Attributes
    ----------
    seconds : float
        Length of the interval.
    entries_by_role : dict
        Number of entries of each role.
    event_costs, message_costs : dict
        Costs by role and the name of the event's or message's class.
    codec_by_kind : dict
        Costs of encoding and decoding a message, by the name of its class.
    platform_calls : dict
        Calls to the platform by kind.
    state_bytes : dict
        Bytes by role and field of the state, mean over the entries of the role.
    """

    seconds: float
    entries_by_role: dict[str, int]
    event_costs: dict[tuple[str, str], Cost] = field(factory=dict)
    message_costs: dict[tuple[str, str], Cost] = field(factory=dict)
    codec_by_kind: dict[str, Cost] = field(factory=dict)
    platform_calls: dict[str, int] = field(factory=dict)
    state_bytes: dict[tuple[str, str], float] = field(factory=dict)


def role_of(state: State) -> str:
    """Return LEAD if an entry leads a base model, else ENTRY."""
    return LEAD if state.boards else ENTRY


class CostSampler:
    """Times the reducer of a simulation and measures the messages that the entries send."""

    def __init__(self, sim: Simulation) -> None:
        self.sim = sim
        self.sample = Sample(0.0, {})
        self.message_numbers = itertools.count()

    def run(self, seconds: float) -> Sample:
        """Advance the virtual clock and return the costs of that interval."""
        sim = self.sim
        states = [entry.state for entry in sim.entries.values()]
        roles = [role_of(state) for state in states]
        self.sample = Sample(seconds, {role: roles.count(role) for role in set(roles)})
        calls = dict(sim.platform.calls)
        sim.reduce = self.timed_reduce
        sim.hooks.append(self.measure_message)
        # Freeze the fakes' many objects: the garbage collection of a real entry has none to scan.
        gc.collect()
        gc.freeze()
        sim.run(seconds)
        gc.unfreeze()
        sim.hooks.remove(self.measure_message)
        sim.reduce = reduce
        for kind, count in sim.platform.calls.items():
            self.sample.platform_calls[kind] = count - calls.get(kind, 0)
        self.measure_states(states)
        return self.sample

    def timed_reduce(self, state: State, event: Event) -> list[fx.Effect]:
        """Apply an event and record its CPU time."""
        key = (role_of(state), type(event).__name__)
        started = time.process_time()
        effects = reduce(state, event)
        took_s = time.process_time() - started
        cost = self.sample.event_costs.setdefault(key, Cost())
        cost.count += 1
        cost.microseconds += took_s * MICROSECONDS_PER_S
        return effects

    def measure_message(self, entry: FakeEntry, item: object) -> None:
        """Record the size of a message, and the codec time of one in ``CODEC_SAMPLE_INTERVAL``."""
        if not isinstance(item, fx.SendMessage):
            return
        kind = type(item.message).__name__
        started = time.process_time()
        data = orjson.dumps(wire.dump_messages([item.message]))
        encode_ended = time.process_time()
        cost = self.sample.message_costs.setdefault((role_of(entry.state), kind), Cost())
        cost.count += 1
        cost.bytes += len(data)
        if next(self.message_numbers) % CODEC_SAMPLE_INTERVAL:
            return
        decode_started = time.process_time()
        wire.load_messages(orjson.loads(data))
        took_s = time.process_time() - decode_started + encode_ended - started
        codec = self.sample.codec_by_kind.setdefault(kind, Cost())
        codec.count += 1
        codec.microseconds += took_s * MICROSECONDS_PER_S

    def measure_states(self, states: list[State]) -> None:
        """Record the memory size of each field of the entries' states."""
        for state in states:
            role = role_of(state)
            for state_field in attrs.fields(State):
                size = deep_size(getattr(state, state_field.name))
                key = (role, state_field.name)
                mean_share = size / max(1, self.sample.entries_by_role.get(role, 1))
                self.sample.state_bytes[key] = self.sample.state_bytes.get(key, 0.0) + mean_share
