"""Steps of the demonstration, each with its checks."""

import io
from pathlib import Path

import eventlet
from attrs import evolve
from tabulate import tabulate

from poplarhoist.cli import ctl
from poplarhoist.context import Environment
from poplarhoist.demo.callers import CALLER_TOKEN, DemoClient
from poplarhoist.demo.site import SERVICE_NAME, DemoSite
from poplarhoist.entry.platform import HttpPlatform
from poplarhoist.errors import PoplarhoistError
from poplarhoist.models import Adapter, VersionState
from poplarhoist.publish import Draft, Publisher
from poplarhoist.status import ExitStatus

WAIT_ARGS = ("--wait-s", "6")
ADAPTER_NAMES = ["plans", *(f"notes-{number}" for number in range(1, 16))]
LONG_ANSWER_TOKENS = 60
BOOKING_KEY = "crew-of-tuesday"


class CheckFailed(PoplarhoistError):
    """A check of the demonstration failed."""


class DemoScenario:
    """Runs the steps of the demonstration in order and prints them."""

    def __init__(self, settings: Path, env: Environment) -> None:
        self.settings_path = settings
        self.env = env
        self.site = DemoSite(settings, env)

    def run(self) -> None:
        """Run all steps.

        Raises
        ------
        CheckFailed
            If a check of a step fails.
        """
        self.start_site()
        self.create_adapters()
        self.serve_requests()
        self.switch_preset()
        self.publish_version()
        self.book_once()
        self.restart_engine()
        self.drain_entry()
        self.print_measures()

    def print_line(self, text: str) -> None:
        """Print a line to standard output."""
        self.env.print(text)

    def check(self, condition: bool, description: str) -> None:
        """Check a condition.

        Raises
        ------
        CheckFailed
            If the condition is false; the message is the description.
        """
        if not condition:
            raise CheckFailed(description, "demo")

    def run_ctl(self, *args: str, stdin: str = "") -> str:
        """Run ``poplarhoist-ctl``, print the command with its output and return the output."""
        output = io.StringIO()
        variables = {"POPLARHOIST_OPERATOR": "demo"}
        env = evolve(self.env, stdin=io.StringIO(stdin), stdout=output, variables=variables)
        status = ctl.main([*args, "--settings", str(self.settings_path)], env)
        self.print_line(f"  $ poplarhoist-ctl {' '.join(args)}")
        for line in output.getvalue().splitlines():
            self.print_line(f"    {line}")
        self.check(status is ExitStatus.OK, f"exit status {status} of {args[0]}")
        return output.getvalue()

    def start_site(self) -> None:
        """Start the site with two presets and one caller."""
        self.print_line("1. A site starts: platform, 3 engines, a booking service and 3 entries.")
        self.site.start_standins()
        self.run_ctl("preset", "put", "ordinary", "--set", "max_wait_s=10")
        self.run_ctl("preset", "put", "peak", "--set", "max_wait_s=5", "queue_limit=64")
        self.run_ctl("caller", "put", "family", stdin=CALLER_TOKEN + "\n")
        self.site.start_entries()
        self.client = DemoClient(self.site, self.env.clock)

    def create_adapters(self) -> None:
        """Create one adapter by command and the others in a single change."""
        self.print_line(
            f"2. Operators create {len(ADAPTER_NAMES)} adapters; the engines have 12 slots."
        )
        self.run_ctl("adapter", "create", ADAPTER_NAMES[0], "--base", "base")
        self.run_ctl("version", "publish", ADAPTER_NAMES[0], "1")
        platform = HttpPlatform(self.site.settings.platform)
        index = Publisher(platform, "demo").apply_change(add_remaining_adapters)
        entries = self.site.entries.values()
        self.site.wait_until(
            lambda: all(e.core.state.config.revision >= index.revision for e in entries),
            "revision is in force",
        )
        self.print_line(f"  revision {index.revision} is in force on {len(entries)} entries")

    def serve_requests(self) -> None:
        """Serve streamed requests, for which adapters are loaded on demand."""
        self.print_line(
            "3. Callers stream 80 answers; adapters are loaded when they are asked for."
        )
        self.request_many(80)
        self.run_ctl("explain", ADAPTER_NAMES[0], "--caller", "family")

    def request_many(self, count: int) -> None:
        """Request answers and check that each is complete and from the requested adapter."""
        answers = self.client.request_many(ADAPTER_NAMES, count)
        failures = sorted({answer.failure for answer in answers if answer.failure})
        self.check(not failures, f"requests failed: {', '.join(failures)}")
        self.check(self.client.stats.wrong_adapter == 0, "an answer came from another adapter")
        self.print_line(f"  {len(answers)} whole answers, each from the adapter that it named")

    def switch_preset(self) -> None:
        """Switch to another preset."""
        self.print_line("4. Operators switch to the preset for a peak; exactly one is in force.")
        self.run_ctl("preset", "use", "peak", *WAIT_ARGS)
        self.run_ctl("preset", "list")

    def publish_version(self) -> None:
        """Publish a version while an answer of the previous version is streamed."""
        self.print_line(
            "5. A new version is published while an answer of the old one is under way."
        )
        old_answer = eventlet.spawn(
            self.client.request_with_retries, ADAPTER_NAMES[0], "entry-1", LONG_ANSWER_TOKENS
        )
        old_entry = self.site.entries["entry-1"]
        self.site.wait_until(lambda: old_entry.core.state.requests, "an answer is in flight")
        self.run_ctl("version", "publish", ADAPTER_NAMES[0], "2", *WAIT_ARGS)
        new_answer = self.client.request_with_retries(ADAPTER_NAMES[0], "entry-2")
        self.check(
            old_answer.wait().refs == {f"{ADAPTER_NAMES[0]}@1"},
            "the answer in flight changed its version",
        )
        self.check(
            new_answer.refs == {f"{ADAPTER_NAMES[0]}@2"},
            "the next answer did not come from the new version",
        )
        self.print_line(
            "  the answer under way came whole from version 1, the next one from version 2"
        )

    def book_once(self) -> None:
        """Send a booking twice with the same idempotency key, to two entries."""
        self.print_line("6. A booking is sent twice with one key, to two entries.")
        self.client.book("entry-1", BOOKING_KEY)
        runs, replayed = self.client.book("entry-2", BOOKING_KEY)
        runs_by_key = self.site.standins.services[SERVICE_NAME].runs_by_key
        self.check(
            (runs, replayed, runs_by_key) == (1, True, {BOOKING_KEY: 1}),
            "the booking did not run exactly once",
        )
        self.print_line("  it ran once; the second answer is a replay of the first")

    def restart_engine(self) -> None:
        """Crash and restart an engine under load."""
        self.print_line("7. An engine restarts under load and comes back empty.")
        requests = eventlet.spawn(self.request_many, 40)
        engine = self.site.standins.engines["engine-1"]
        self.site.wait_until(lambda: engine.batcher.running, "engine-1 is generating")
        retries = self.client.stats.retries
        engine.crash()
        requests.wait()
        retries = self.client.stats.retries - retries
        self.print_line(
            f"  callers sent {retries} of them again, after a refusal or a broken stream"
        )

    def drain_entry(self) -> None:
        """Drain an entry while it streams an answer."""
        self.print_line("8. An entry is drained while it passes an answer on.")
        pending_answer = eventlet.spawn(
            self.client.request_stream, "entry-3", ADAPTER_NAMES[0], "last", LONG_ANSWER_TOKENS
        )
        drained_entry = self.site.entries["entry-3"]
        self.site.wait_until(lambda: drained_entry.core.state.requests, "an answer is in flight")
        self.run_ctl("drain", "entry-3")
        answer = pending_answer.wait()
        self.check(not answer.failure, f"the answer was interrupted: {answer.failure}")
        self.site.wait_until(drained_entry.stopped.ready, "entry-3 has stopped")
        self.print_line("  the answer came whole, and entry-3 stopped after it")

    def print_measures(self) -> None:
        """Print the measures as a table."""
        self.print_line("What was measured:")
        self.print_line(tabulate(self.collect_measures().items(), tablefmt="plain"))

    def collect_measures(self) -> dict[str, object]:
        """Check completeness and violations, and return the measures by name."""
        stats = self.client.stats
        engines = self.site.standins.engines.values()
        tokens = sum(engine.batcher.generated_tokens for engine in engines)
        batch_capacity = sum(engine.batcher.steps * engine.endpoint.batch for engine in engines)
        refused: dict[str, float] = {}
        for entry in self.site.entries.values():
            for reason, count in entry.metrics.totals_by_first_label("refused").items():
                refused[reason] = refused.get(reason, 0) + count
        reasons = ", ".join(f"{reason} {count:g}" for reason, count in sorted(refused.items()))
        self.check(stats.complete == stats.requests, "an answer was incomplete")
        violations = [line for engine in engines for line in engine.violations]
        self.check(not violations, f"adapters were evicted while in use: {violations}")
        return {
            "requests": stats.requests,
            "whole answers": stats.complete,
            "sent again": stats.retries,
            "stalls (first token later than a load takes)": stats.stalls,
            "first token p50, ms": stats.first_token_ms.get_value_at_percentile(50),
            "first token p99, ms": stats.first_token_ms.get_value_at_percentile(99),
            "batch efficiency": f"{tokens / max(1, batch_capacity):.2f}",
            "loads": sum(engine.load_count for engine in engines),
            "refusals": reasons or "none",
        }


def add_remaining_adapters(draft: Draft) -> None:
    """Add all adapters except the first, each with version 1."""
    for name in ADAPTER_NAMES[1:]:
        versions = {"1": VersionState.PUBLISHED}
        draft.put_adapter(Adapter(name, "base", versions, current=1))
