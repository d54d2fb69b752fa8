"""``poplarhoist-ctl``: the operators' tool."""

import getpass
import sys
from collections.abc import Callable, Sequence

import orjson
import urllib3
from attrs import evolve
from tabulate import tabulate
from urllib3.exceptions import HTTPError

from poplarhoist.cli import ctl_arguments as arguments
from poplarhoist.cli.common import run
from poplarhoist.context import Environment
from poplarhoist.entry.platform import HttpPlatform, token_digest
from poplarhoist.errors import ConflictError, PoplarhoistError, SettingsError
from poplarhoist.models import Adapter, Caller, Index, Preset, VersionState
from poplarhoist.publish import Draft, Publisher
from poplarhoist.settings.loader import load_site
from poplarhoist.settings.models import EntrySettings, Site
from poplarhoist.status import ExitStatus

PROGRAM = "poplarhoist-ctl"
POLL_S = 0.1
CALL_TIMEOUT_S = 2.0
ORDINARY = "ordinary"


class Operator:
    """Executes the commands of one site."""

    def __init__(self, target: arguments.Target, env: Environment) -> None:
        self.target = target
        self.env = env
        self.site: Site = load_site(target.settings)
        author = env.variables.get("POPLARHOIST_OPERATOR") or getpass.getuser()
        self.publisher = Publisher(HttpPlatform(self.site.platform, env.clock), author)
        self.pool = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)

    def show(self, data: object, text: str) -> None:
        """Print an answer for people or for programs."""
        self.env.print(orjson.dumps(data).decode() if self.target.json else text)

    def change(self, edit: Callable[[Draft], None]) -> ExitStatus:
        """Make a change; wait until it is in force if asked to."""
        index = self.publisher.change(edit)
        data: dict[str, object] = {"accepted": index.revision}
        text = f"accepted as revision {index.revision}"
        status = ExitStatus.OK
        if self.target.wait_s > 0:
            behind = self.wait_for(index)
            total = len(self.site.entries)
            data |= {"in_force": total - len(behind), "entries": total, "behind": behind}
            text += f", in force on {total - len(behind)} of {total} entries"
            status = ExitStatus.TIMEOUT if behind else ExitStatus.OK
        self.show(data, text)
        return status

    def wait_for(self, index: Index) -> list[str]:
        """Wait until a revision is in force; return the entries that are behind."""
        ends_at = self.env.clock.monotonic() + self.target.wait_s
        behind = list(self.site.entries)
        while behind and self.env.clock.monotonic() < ends_at:
            behind = [entry for entry in behind if self.revision_of(entry) < index.revision]
            if behind:
                self.env.clock.sleep(POLL_S)
        return [entry.name for entry in behind]

    def revision_of(self, entry: EntrySettings) -> int:
        """Return the revision in force on an entry; -1 if it does not answer."""
        try:
            return self.ask(entry, "GET", "/admin/status")["revision"]
        except PoplarhoistError:
            return -1

    def ask(self, entry: EntrySettings, method: str, path: str) -> dict:
        """Call an entry's operators' door.

        Raises
        ------
        PoplarhoistError
            If the entry does not answer or refuses.
        """
        url = f"http://{entry.host}:{entry.port}{path}"
        headers = {"Authorization": f"Bearer {self.site.doors.operator_key}"}
        try:
            answer = self.pool.request(method, url, headers=headers)
        except HTTPError as error:
            raise PoplarhoistError("no answer", "call-entry", entry.name) from error
        if answer.status >= 400:
            raise PoplarhoistError(f"status {answer.status}", "call-entry", entry.name)
        return orjson.loads(answer.data)

    def adapter_create(self, command: arguments.AdapterCreate) -> ExitStatus:
        """Add an adapter."""

        def edit(draft: Draft) -> None:
            if draft.adapter(command.name) is not None:
                raise ConflictError("exists already", "create-adapter", command.name)
            draft.put_adapter(Adapter(command.name, command.base, callers=command.callers))

        return self.change(edit)

    def version_publish(self, command: arguments.VersionPublish) -> ExitStatus:
        """Publish a version and make it the current one."""

        def edit(draft: Draft) -> None:
            adapter = self.existing(draft, command.adapter)
            versions = {**adapter.versions, str(command.version): VersionState.PUBLISHED}
            draft.put_adapter(evolve(adapter, versions=versions, current=command.version))

        return self.change(edit)

    def version_withdraw(self, command: arguments.VersionWithdraw) -> ExitStatus:
        """Withdraw a version; the highest one that is still published becomes current."""

        def edit(draft: Draft) -> None:
            adapter = self.existing(draft, command.adapter)
            if str(command.version) not in adapter.versions:
                raise SettingsError("no such version", "withdraw", str(command.version))
            versions = {**adapter.versions, str(command.version): VersionState.WITHDRAWN}
            left = [int(v) for v, state in versions.items() if state is VersionState.PUBLISHED]
            current = adapter.current
            if current == command.version:
                current = max(left, default=0)
            draft.put_adapter(evolve(adapter, versions=versions, current=current))

        return self.change(edit)

    def existing(self, draft: Draft, name: str) -> Adapter:
        """Return an adapter that must exist."""
        adapter = draft.adapter(name)
        if adapter is None:
            raise SettingsError("no such adapter", "find-adapter", name)
        return adapter

    def caller_put(self, command: arguments.CallerPut) -> ExitStatus:
        """Add or change a caller."""
        caller = Caller(command.name, token_digest(command.token), command.priority)
        return self.change(lambda draft: draft.put_caller(caller))

    def preset_use(self, command: arguments.PresetUse) -> ExitStatus:
        """Put a preset in force; the ordinary one is made on first use."""

        def edit(draft: Draft) -> None:
            if command.name not in draft.presets():
                if command.name != ORDINARY:
                    raise SettingsError("no such preset", "use-preset", command.name)
                draft.put_preset(Preset(ORDINARY))
            draft.preset = command.name

        return self.change(edit)

    def status(self, command: arguments.Status) -> ExitStatus:
        """Show every entry."""
        rows, data, result = [], {}, ExitStatus.OK
        for entry in self.site.entries:
            try:
                found = self.ask(entry, "GET", "/admin/status")
            except PoplarhoistError as error:
                rows.append([entry.name, error.message, "", "", "", ""])
                data[entry.name] = {"error": error.message}
                result = ExitStatus.UNAVAILABLE
                continue
            data[entry.name] = found
            leads = ", ".join(f"{base} (epoch {e})" for base, e in found["leads"].items())
            state = "draining" if found["draining"] else "serving"
            rows.append(
                [entry.name, state, found["revision"], found["preset"], found["waiting"], leads]
            )
        heads = ["entry", "state", "revision", "preset", "waiting", "leads"]
        self.show(data, tabulate(rows, heads))
        return result

    def drain(self, command: arguments.Drain) -> ExitStatus:
        """Stop an entry gracefully."""
        for entry in self.site.entries:
            if entry.name == command.entry:
                self.ask(entry, "POST", "/admin/drain")
                self.show({"draining": entry.name}, f"{entry.name} is draining")
                return ExitStatus.OK
        raise SettingsError("no such entry", "find-entry", command.entry)


METHODS = {
    arguments.AdapterCreate: Operator.adapter_create,
    arguments.VersionPublish: Operator.version_publish,
    arguments.VersionWithdraw: Operator.version_withdraw,
    arguments.CallerPut: Operator.caller_put,
    arguments.PresetUse: Operator.preset_use,
    arguments.Status: Operator.status,
    arguments.Drain: Operator.drain,
}


def execute(command: object, env: Environment) -> ExitStatus:
    """Execute a command."""
    return METHODS[type(command)](Operator(command.target, env), command)


def main(args: Sequence[str], env: Environment) -> ExitStatus:
    """Run the program."""
    return run(PROGRAM, arguments.COMMANDS, execute, args, env)


def console() -> None:
    """Run the program from a shell."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == "__main__":
    console()
