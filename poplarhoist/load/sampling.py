"""Runs a bench of fakes at some size and samples what the decisions cost."""

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
from poplarhoist.replay.bench import Bench, FakeEntry

LEAD = "lead"
ENTRY = "entry"
CODEC_EVERY = 20
MICROSECONDS = 1e6


@define
class Cost:
    """How often something happened, and its microseconds and bytes in total."""

    count: int = 0
    microseconds: float = 0.0
    bytes: int = 0


@define
class Sample:
    """Costs by role and kind over a stretch of virtual time.

    Attributes
    ----------
    events, messages, codec : dict
        Costs by role and the name of the event's or message's class.
    platform : dict
        Calls to the platform by kind.
    state : dict
        Bytes by role and part of the state, mean over the entries of the role.
    """

    seconds: float
    roles: dict[str, int]
    events: dict[tuple[str, str], Cost] = field(factory=dict)
    messages: dict[tuple[str, str], Cost] = field(factory=dict)
    codec: dict[str, Cost] = field(factory=dict)
    platform: dict[str, int] = field(factory=dict)
    state: dict[tuple[str, str], float] = field(factory=dict)


def role_of(state: State) -> str:
    """Return whether an entry leads a base model."""
    return LEAD if state.boards else ENTRY


class Sampler:
    """Times the reducer of a bench and weighs the messages that it sends."""

    def __init__(self, bench: Bench) -> None:
        self.bench = bench
        self.sample = Sample(0.0, {})
        self.numbers = itertools.count()

    def run(self, seconds: float) -> Sample:
        """Let virtual time pass and return what it cost."""
        bench = self.bench
        states = [entry.state for entry in bench.entries.values()]
        roles = [role_of(state) for state in states]
        self.sample = Sample(seconds, {role: roles.count(role) for role in set(roles)})
        calls = dict(bench.platform.calls)
        bench.reduce = self.timed_reduce
        bench.hooks.append(self.weigh)
        # The fakes' many objects are no part of an entry's garbage collection.
        gc.collect()
        gc.freeze()
        bench.run(seconds)
        gc.unfreeze()
        bench.hooks.remove(self.weigh)
        bench.reduce = reduce
        for kind, count in bench.platform.calls.items():
            self.sample.platform[kind] = count - calls.get(kind, 0)
        self.weigh_states(states)
        return self.sample

    def timed_reduce(self, state: State, event: Event) -> list[fx.Effect]:
        """Apply an event and note how long it took."""
        key = (role_of(state), type(event).__name__)
        started = time.process_time()
        effects = reduce(state, event)
        took_s = time.process_time() - started
        cost = self.sample.events.setdefault(key, Cost())
        cost.count += 1
        cost.microseconds += took_s * MICROSECONDS
        return effects

    def weigh(self, entry: FakeEntry, item: object) -> None:
        """Note the size of a message, and now and then the time to code it."""
        if not isinstance(item, fx.SendMessage):
            return
        kind = type(item.message).__name__
        started = time.process_time()
        data = orjson.dumps(wire.dump_messages([item.message]))
        encoded = time.process_time()
        cost = self.sample.messages.setdefault((role_of(entry.state), kind), Cost())
        cost.count += 1
        cost.bytes += len(data)
        if next(self.numbers) % CODEC_EVERY:
            return
        decoding = time.process_time()
        wire.load_messages(orjson.loads(data))
        took_s = time.process_time() - decoding + encoded - started
        codec = self.sample.codec.setdefault(kind, Cost())
        codec.count += 1
        codec.microseconds += took_s * MICROSECONDS

    def weigh_states(self, states: list[State]) -> None:
        """Note the bytes of each part of the entries' states."""
        for state in states:
            role = role_of(state)
            for part in attrs.fields(State):
                size = deep_size(getattr(state, part.name))
                key = (role, part.name)
                share = size / max(1, self.sample.roles.get(role, 1))
                self.sample.state[key] = self.sample.state.get(key, 0.0) + share
