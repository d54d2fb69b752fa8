"""What the demonstration does, step by step, and what it checks at each."""

import io
from pathlib import Path

import eventlet
from attrs import evolve
from tabulate import tabulate

from poplarhoist.cli import ctl
from poplarhoist.context import Environment
from poplarhoist.demo.callers import TOKEN, Callers
from poplarhoist.demo.site import SERVICE, DemoSite
from poplarhoist.entry.platform import HttpPlatform
from poplarhoist.errors import PoplarhoistError
from poplarhoist.models import Adapter, VersionState
from poplarhoist.publish import Draft, Publisher
from poplarhoist.status import ExitStatus

WAIT = ("--wait-s", "6")
MODELS = ["plans", *(f"notes-{number}" for number in range(1, 16))]
LONG_ANSWER = 60
BOOKING_KEY = "crew-of-tuesday"


class CheckFailed(PoplarhoistError):
    """Something did not happen as the demonstration says."""


class Story:
    """Runs the steps in order."""

    def __init__(self, settings: Path, env: Environment) -> None:
        self.path = settings
        self.env = env
        self.site = DemoSite(settings, env)

    def run(self) -> None:
        """Run every step.

        Raises
        ------
        CheckFailed
            If a step went otherwise than it should.
        """
        self.begin()
        self.create_adapters()
        self.serve()
        self.switch_preset()
        self.publish_version()
        self.book_once()
        self.restart_engine()
        self.drain_entry()
        self.finish()

    def say(self, text: str) -> None:
        """Print a line of the story."""
        self.env.print(text)

    def require(self, holds: bool, what: str) -> None:
        """Make sure that something holds."""
        if not holds:
            raise CheckFailed(what, "demo")

    def ctl(self, *args: str, stdin: str = "") -> str:
        """Run the operators' tool and print the command with its answer."""
        out = io.StringIO()
        variables = {"POPLARHOIST_OPERATOR": "demo"}
        env = evolve(self.env, stdin=io.StringIO(stdin), stdout=out, variables=variables)
        status = ctl.main([*args, "--settings", str(self.path)], env)
        self.say(f"  $ poplarhoist-ctl {' '.join(args)}")
        for line in out.getvalue().splitlines():
            self.say(f"    {line}")
        self.require(status is ExitStatus.OK, f"exit status {status} of {args[0]}")
        return out.getvalue()

    def begin(self) -> None:
        """Start the site and put a first configuration in force."""
        self.say("1. A site starts: platform, 3 engines, a booking service and 3 entries.")
        self.site.start_standins()
        self.ctl("preset", "put", "ordinary", "--set", "max_wait_s=10")
        self.ctl("preset", "put", "peak", "--set", "max_wait_s=5", "queue_limit=64")
        self.ctl("caller", "put", "family", stdin=TOKEN + "\n")
        self.site.start_entries()
        self.callers = Callers(self.site, self.env.clock)

    def create_adapters(self) -> None:
        """Create adapters, one by command and the others in one change."""
        self.say(f"2. Operators create {len(MODELS)} adapters; the engines have 12 slots.")
        self.ctl("adapter", "create", MODELS[0], "--base", "base")
        self.ctl("version", "publish", MODELS[0], "1")
        platform = HttpPlatform(self.site.settings.platform, self.env.clock)
        index = Publisher(platform, "demo").apply_change(publish_all)
        entries = self.site.entries.values()
        self.site.wait_until(
            lambda: all(e.core.state.config.revision >= index.revision for e in entries),
            "revision in force",
        )
        self.say(f"  revision {index.revision} is in force on {len(entries)} entries")

    def serve(self) -> None:
        """Serve streamed requests; adapters are loaded on demand."""
        self.say("3. Callers stream 80 answers; adapters are loaded when they are asked for.")
        self.ask_many(80)
        self.ctl("explain", MODELS[0], "--caller", "family")

    def ask_many(self, count: int) -> None:
        """Ask for answers and make sure that each is whole and from its adapter."""
        streams = self.callers.ask_many(MODELS, count)
        problems = sorted({stream.problem for stream in streams if stream.problem})
        self.require(not problems, f"not answered: {', '.join(problems)}")
        self.require(self.callers.tally.wrong == 0, "an answer came from another adapter")
        self.say(f"  {len(streams)} whole answers, each from the adapter that it named")

    def switch_preset(self) -> None:
        """Put another preset in force."""
        self.say("4. Operators switch to the preset for a peak; exactly one is in force.")
        self.ctl("preset", "use", "peak", *WAIT)
        self.ctl("preset", "list")

    def publish_version(self) -> None:
        """Publish a version while an answer of the one before is under way."""
        self.say("5. A new version is published while an answer of the old one is under way.")
        before = eventlet.spawn(self.callers.ask, MODELS[0], "entry-1", LONG_ANSWER)
        first = self.site.entries["entry-1"]
        self.site.wait_until(lambda: first.core.state.requests, "an answer under way")
        self.ctl("version", "publish", MODELS[0], "2", *WAIT)
        after = self.callers.ask(MODELS[0], "entry-2")
        self.require(before.wait().refs == {f"{MODELS[0]}@1"}, "the old answer changed version")
        self.require(after.refs == {f"{MODELS[0]}@2"}, "the new version did not answer")
        self.say("  the answer under way came whole from version 1, the next one from version 2")

    def book_once(self) -> None:
        """Book once, and send the same booking again to another entry."""
        self.say("6. A booking is sent twice with one key, to two entries.")
        self.callers.book("entry-1", BOOKING_KEY)
        runs, replayed = self.callers.book("entry-2", BOOKING_KEY)
        ran = self.site.standins.services[SERVICE].runs_by_key
        self.require((runs, replayed, ran) == (1, True, {BOOKING_KEY: 1}), "not run once")
        self.say("  it ran once; the second answer is a replay of the first")

    def restart_engine(self) -> None:
        """Restart an engine under load."""
        self.say("7. An engine restarts under load and comes back empty.")
        asking = eventlet.spawn(self.ask_many, 40)
        engine = self.site.standins.engines["engine-1"]
        self.site.wait_until(lambda: engine.batcher.running, "engine-1 at work")
        again = self.callers.tally.sent_again
        engine.crash()
        asking.wait()
        again = self.callers.tally.sent_again - again
        self.say(f"  callers sent {again} of them again, after a refusal or a broken stream")

    def drain_entry(self) -> None:
        """Drain an entry while it passes an answer on."""
        self.say("8. An entry is drained while it passes an answer on.")
        answer = eventlet.spawn(self.callers.stream, "entry-3", MODELS[0], "last", LONG_ANSWER)
        drained = self.site.entries["entry-3"]
        self.site.wait_until(lambda: drained.core.state.requests, "an answer under way")
        self.ctl("drain", "entry-3")
        stream = answer.wait()
        self.require(not stream.problem, f"the answer broke off: {stream.problem}")
        self.site.wait_until(drained.stopped.ready, "entry-3 stopped")
        self.say("  the answer came whole, and entry-3 stopped after it")

    def finish(self) -> None:
        """Print the measures."""
        self.say("What was measured:")
        self.say(tabulate(self.measures().items(), tablefmt="plain"))

    def measures(self) -> dict[str, object]:
        """Return the measures by name."""
        tally = self.callers.tally
        engines = self.site.standins.engines.values()
        tokens = sum(engine.batcher.filled for engine in engines)
        room = sum(engine.batcher.steps * engine.endpoint.batch for engine in engines)
        refused: dict[str, float] = {}
        for entry in self.site.entries.values():
            for reason, count in entry.metrics.totals_by_first_label("refused").items():
                refused[reason] = refused.get(reason, 0) + count
        reasons = ", ".join(f"{reason} {count:g}" for reason, count in sorted(refused.items()))
        self.require(tally.whole == tally.requests, "an answer was not whole")
        violations = [line for engine in engines for line in engine.violations]
        self.require(not violations, f"adapters were evicted in use: {violations}")
        return {
            "requests": tally.requests,
            "whole answers": tally.whole,
            "sent again": tally.sent_again,
            "stalls (first token later than a load takes)": tally.stalls,
            "first token p50, ms": tally.first_ms.get_value_at_percentile(50),
            "first token p99, ms": tally.first_ms.get_value_at_percentile(99),
            "batch efficiency": f"{tokens / max(1, room):.2f}",
            "loads": sum(engine.loads for engine in engines),
            "refusals": reasons or "none",
        }


def publish_all(draft: Draft) -> None:
    """Add the other adapters, each with a version."""
    for name in MODELS[1:]:
        versions = {"1": VersionState.PUBLISHED}
        draft.put_adapter(Adapter(name, "base", versions, current=1))
