"""Starts sites as separate processes and measures them: ``python -m tests.measured_site``."""

import sys
import tempfile
from pathlib import Path

from poplarhoist.replay.shapes import SHAPES_BY_NAME
from tests.site import TOKEN, RunningSite, SiteFile, published, wait_until

LONG_S = 3600.0
ADAPTERS = 3000


class MeasuredSite(RunningSite):
    """A site whose engines step at a chosen pace."""

    step_s = 0.03

    def start_engine(self, name: str) -> None:
        args = ("--settings", str(self.file.path), "--name", name, "--step-s", str(self.step_s))
        self.spawn(name, "standin", "engine", *args)

    def put_adapters(self, count: int) -> None:
        """Publish adapters ``a0000`` … and wait until every entry has them."""

        def edit(draft):
            for number in range(count):
                draft.put_adapter(published(f"a{number:05}", 1))

        revision = self.publish(edit).revision
        for entry in self.file.entry_ports:
            in_force = lambda entry=entry: self.status(entry)["revision"] >= revision
            wait_until(in_force, 60.0, f"revision in force at {entry}")

    def load(self, *args: str) -> int:
        """Run the load tool on this site; return its exit status."""
        options = ["--settings", str(self.file.path), "--token", TOKEN]
        process = self.spawn("load", "load", args[0], *options, *args[1:])
        status = process.wait(timeout=LONG_S)
        print(self.file.path.with_suffix(".load.log").read_text())
        self.file.path.with_suffix(".load.log").unlink()
        return status


def overhead(folder: Path) -> None:
    """Measure one entry: requests, latency, tokens, then memory at growing catalogues."""
    file = SiteFile(folder / "site.toml", entries=1, engines=4, slots=8, batch=32)
    site = MeasuredSite(file)
    site.step_s = 0.008
    try:
        site.start()
        pid = ("--pid", str(site.processes["entry-1"].pid))
        site.load("overhead", *pid, "--memory-only")
        site.put_adapters(8)
        site.load("overhead", *pid)
        for count in (ADAPTERS, 11000):
            site.put_adapters(count)
            site.load("overhead", *pid, "--memory-only")
    finally:
        site.stop()


def replays(folder: Path, name: str, *traces: str) -> None:
    """Send traces of a site's shape to real processes."""
    shape = SHAPES_BY_NAME[name]
    file = SiteFile(
        folder / "site.toml",
        entries=shape.entries,
        engines=shape.engines,
        slots=shape.slots,
        batch=shape.batch,
        loads_per_s=shape.loads_per_s,
        regions=tuple((place.region, place.zone) for place in shape.places),
    )
    settings = file.path.read_text().replace("load_s = 0.1", "load_s = 0.25")
    file.path.write_text(settings)
    site = MeasuredSite(file)
    site.step_s = shape.step_s
    try:
        site.start()
        site.put_adapters(shape.adapters - 1)
        for trace in traces:
            site.load("run", "--trace", trace, *load_options(shape))
    finally:
        site.stop()


def load_options(shape) -> list[str]:
    """Return the options that make the load tool send a shape's traces."""
    options = {
        "--rate": shape.arrivals_per_s,
        "--tokens": shape.tokens_mean,
        "--warm-up-s": shape.warm_up_s,
        "--seconds": shape.measured_s,
    }
    return [str(item) for pair in options.items() for item in pair]


def main(args: list[str]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        if args[:1] == ["overhead"]:
            overhead(Path(folder))
        else:
            replays(Path(folder), *args)


if __name__ == "__main__":
    main(sys.argv[1:])
