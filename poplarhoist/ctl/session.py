"""One run of ``poplarhoist-ctl``: its output, its changes and its calls to entries."""

import getpass
from collections.abc import Callable, Sequence

import orjson
from tabulate import tabulate
from urllib3.exceptions import HTTPError

from poplarhoist import wire
from poplarhoist.context import Environment
from poplarhoist.ctl.arguments import Command
from poplarhoist.entry.http import request_once
from poplarhoist.entry.platform import HttpPlatform
from poplarhoist.errors import EntryError, NotFoundError, PoplarhoistError
from poplarhoist.models import ConfigIndex
from poplarhoist.publish import Draft, Publisher
from poplarhoist.settings.loader import load_site
from poplarhoist.settings.models import EntrySettings, Site
from poplarhoist.status import ExitStatus

POLL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 2.0
# Longest response of an entry; its status has some 300 bytes for each endpoint and peer.
MAX_RESPONSE_BYTES = 8_388_608
OPERATOR_VARIABLE = "POPLARHOIST_OPERATOR"


class OperatorSession:
    """Prints results and acts on a site on behalf of an operator.

    The author of changes is the value of ``POPLARHOIST_OPERATOR``, or else the login name.
    """

    def __init__(self, command: Command, env: Environment) -> None:
        self.json = command.json
        self.env = env
        self.site: Site = load_site(command.settings)
        author = env.variables.get(OPERATOR_VARIABLE) or getpass.getuser()
        self.publisher = Publisher(HttpPlatform(self.site.platform), author)

    def print_result(self, data: object, text: str) -> None:
        """Print a result: the data as JSON with ``--json``, otherwise the text."""
        self.env.print(orjson.dumps(data).decode() if self.json else text)

    def print_table(self, rows: Sequence[dict[str, object]]) -> None:
        """Print rows as JSON objects, or as a table with the keys of the first row as headers."""
        headers = [key.replace("_", " ") for key in rows[0]] if rows else []
        cells = [[format_cell(value) for value in row.values()] for row in rows]
        self.print_result(rows, tabulate(cells, headers) if rows else "none")

    def print_object(self, item: object) -> None:
        """Print an attrs object as JSON, or as one line per field."""
        data = wire.dump(item)
        rows = [[key.replace("_", " "), format_cell(value)] for key, value in data.items()]
        self.print_result(data, tabulate(rows, tablefmt="plain"))

    def read_configuration(self) -> Draft:
        """Read the latest configuration from the platform."""
        return self.publisher.read_draft()

    def apply_change(self, edit: Callable[[Draft], None], wait_s: float) -> ExitStatus:
        """Make a change, print its revision and wait until it is in force on every entry.

        Parameters
        ----------
        wait_s : float
            Maximum wait in seconds; 0 returns once the change is accepted.

        Returns
        -------
        ExitStatus
            TIMEOUT if the change is accepted but not in force everywhere after the wait.

        Raises
        ------
        ConflictError
            If another operator changed the same object first.
        UnsettledError
            If it is not known whether the change was accepted.
        """
        index = self.publisher.apply_change(edit)
        data: dict[str, object] = {"accepted": index.revision}
        text = f"accepted as revision {index.revision}"
        status = ExitStatus.OK
        if wait_s > 0:
            behind_names = self.wait_for_revision(index, wait_s)
            total = len(self.site.entries)
            data |= {
                "in_force": total - len(behind_names),
                "entries": total,
                "behind": behind_names,
            }
            text += f", in force on {total - len(behind_names)} of {total} entries"
            if behind_names:
                text += f"; not on {', '.join(behind_names)}"
                status = ExitStatus.TIMEOUT
        self.print_result(data, text)
        return status

    def wait_for_revision(self, index: ConfigIndex, wait_s: float) -> list[str]:
        """Wait until a revision is in force; return the names of the entries without it."""
        entries_behind = list(self.site.entries)

        def is_reached() -> bool:
            entries_behind[:] = [
                entry for entry in entries_behind if self.entry_revision(entry) < index.revision
            ]
            return not entries_behind

        self.wait_until(is_reached, wait_s)
        return [entry.name for entry in entries_behind]

    def wait_until(self, condition: Callable[[], bool], wait_s: float) -> bool:
        """Poll until a condition holds or the wait has passed; return whether it holds."""
        clock = self.env.clock
        deadline_at = clock.monotonic() + wait_s
        while not condition():
            if clock.monotonic() >= deadline_at:
                return False
            clock.sleep(POLL_INTERVAL_S)
        return True

    def entry_revision(self, entry: EntrySettings) -> int:
        """Return the revision in force on an entry; -1 if the entry does not respond."""
        try:
            return self.call_entry(entry, "GET", "/admin/status")["revision"]
        except PoplarhoistError:
            return -1

    def find_entry(self, name: str) -> EntrySettings:
        """Return the settings of an entry.

        Raises
        ------
        NotFoundError
            If the settings have no entry of that name.
        """
        for entry in self.site.entries:
            if entry.name == name:
                return entry
        known = ", ".join(entry.name for entry in self.site.entries)
        raise NotFoundError(f"no such entry; expected one of {known}", "find-entry", name)

    def call_entry(self, entry: EntrySettings, method: str, path: str, **fields: object) -> dict:
        """Call the operator interface of an entry and return its JSON response.

        Raises
        ------
        EntryError
            If the entry does not respond, or responds with an error status.
        """
        url = f"http://{entry.host}:{entry.port}{path}"
        headers = {"Authorization": f"Bearer {self.site.interfaces.operator_key}"}
        try:
            status, data = request_once(
                method,
                url,
                CALL_TIMEOUT_S,
                MAX_RESPONSE_BYTES,
                headers=headers,
                fields=fields or None,
            )
        except HTTPError as error:
            raise EntryError("no answer", "call-entry", entry.name) from error
        if status >= 400:
            raise EntryError(f"status {status}", "call-entry", entry.name)
        return orjson.loads(data)

    def call_any_entry(self, path: str, **fields: object) -> dict:
        """Call the entries in the order of the settings until one responds.

        Raises
        ------
        EntryError
            If no entry responds; the error of the last one.
        """
        for entry in self.site.entries:
            try:
                return self.call_entry(entry, "GET", path, **fields)
            except EntryError as error:
                last_error = error
        raise last_error


def format_cell(value: object) -> object:
    """Return the content of a table cell; dicts and lists become comma-separated text."""
    if isinstance(value, dict):
        return ", ".join(f"{key} {item}" for key, item in value.items())
    if isinstance(value, list | tuple):
        return ", ".join(str(item) for item in value)
    return value
