"""Commands that only read: show, list, status, explain and check."""

from tabulate import tabulate

from poplarhoist import wire
from poplarhoist.ctl import arguments
from poplarhoist.ctl.changes import find_adapter
from poplarhoist.ctl.session import OperatorSession
from poplarhoist.errors import EntryError, NotFoundError
from poplarhoist.models import EndpointKind
from poplarhoist.status import ExitStatus

REFUSED_VERDICT = "refused"


def adapter_show(session: OperatorSession, command: arguments.AdapterShow) -> ExitStatus:
    """Show an adapter with its versions and callers."""
    session.print_object(find_adapter(session.read_configuration(), command.name))
    return ExitStatus.OK


def adapter_list(session: OperatorSession, command: arguments.AdapterList) -> ExitStatus:
    """List the adapters."""
    adapters = session.read_configuration().load_adapters().values()
    session.print_table([wire.dump(adapter) for adapter in adapters])
    return ExitStatus.OK


def caller_list(session: OperatorSession, command: arguments.CallerList) -> ExitStatus:
    """List the callers, without the digests of their tokens."""
    callers = session.read_configuration().load_callers().values()
    session.print_table([{"name": c.name, "priority": c.priority} for c in callers])
    return ExitStatus.OK


def preset_show(session: OperatorSession, command: arguments.PresetShow) -> ExitStatus:
    """Show a preset; the one in force if no name is given."""
    draft = session.read_configuration()
    name = command.name or draft.preset
    preset = draft.load_presets().get(name)
    if preset is None:
        raise NotFoundError("no such preset", "show-preset", name)
    session.print_object(preset)
    return ExitStatus.OK


def preset_list(session: OperatorSession, command: arguments.PresetList) -> ExitStatus:
    """List the presets and mark the one in force."""
    draft = session.read_configuration()
    rows = []
    for preset in draft.load_presets().values():
        in_force = "yes" if preset.name == draft.preset else "no"
        rows.append({"name": preset.name, "kind": preset.kind, "in_force": in_force})
    session.print_table(rows)
    return ExitStatus.OK


def endpoint_list(session: OperatorSession, command: arguments.EndpointList) -> ExitStatus:
    """List the endpoints as seen by the first entry that responds."""
    endpoints = session.call_any_entry("/admin/status")["endpoints"]
    rows = []
    for name, view in sorted(endpoints.items()):
        state = "leaving" if view["leaving"] else "silent" if view["silent"] else "live"
        rows.append(
            {
                "endpoint": name,
                "kind": view["kind"],
                "serves": view["serves"],
                "zone": view["zone"],
                "state": state,
                "running": view["running"],
                "waiting": view["waiting"],
                "slots": view["slots"] if view["kind"] == EndpointKind.ENGINE else None,
                "resident": view["resident"],
                "report_age_s": view["report_age_s"],
            }
        )
    session.print_table(rows)
    return ExitStatus.OK


def status(session: OperatorSession, command: arguments.Status) -> ExitStatus:
    """Show the state of every entry; the exit status is UNAVAILABLE if one does not respond."""
    status_by_entry: dict[str, dict] = {}
    for entry in session.site.entries:
        try:
            status_by_entry[entry.name] = session.call_entry(entry, "GET", "/admin/status")
        except EntryError as error:
            status_by_entry[entry.name] = {"error": error.message}
    rows = [status_row(name, entry_status) for name, entry_status in status_by_entry.items()]
    session.print_result(status_by_entry, tabulate(rows, headers="keys"))
    has_silent_entry = any("error" in entry_status for entry_status in status_by_entry.values())
    return ExitStatus.UNAVAILABLE if has_silent_entry else ExitStatus.OK


def status_row(name: str, entry_status: dict) -> dict[str, object]:
    """Return the table row of an entry; only its error if it did not respond."""
    if "error" in entry_status:
        return {"entry": name, "state": entry_status["error"]}
    return {
        "entry": name,
        "state": "draining" if entry_status["draining"] else "serving",
        "revision": entry_status["revision"],
        "preset": entry_status["preset"],
        "leads": join_lines(
            f"{base} (epoch {epoch})" for base, epoch in entry_status["leads"].items()
        ),
        "requests": entry_status["requests"],
        "queues": join_lines(f"{ref} {count}" for ref, count in entry_status["queues"].items()),
        "refused": join_lines(
            f"{reason} {count:g}" for reason, count in entry_status["refused"].items()
        ),
    }


def join_lines(items) -> str:
    """Join items into a table cell, one per line."""
    return "\n".join(items)


def explain(session: OperatorSession, command: arguments.Explain) -> ExitStatus:
    """Explain the routing of a request; the exit status is REFUSED if it would be refused."""
    fields = {
        "model": command.model,
        "caller": command.caller,
        "deadline_s": f"{command.deadline_s:g}",
    }
    path = "/admin/explain"
    if command.entry:
        explanation = session.call_entry(session.find_entry(command.entry), "GET", path, **fields)
    else:
        explanation = session.call_any_entry(path, **fields)
    session.print_result(explanation, format_explanation(explanation))
    return ExitStatus.REFUSED if explanation["verdict"] == REFUSED_VERDICT else ExitStatus.OK


def format_explanation(explanation: dict) -> str:
    """Return an explanation as text."""
    lines = [
        f"asked of {explanation['entry']} at revision {explanation['revision']}, "
        f"preset {explanation['preset']}",
        format_verdict(explanation),
        f"lead of {explanation['base'] or 'the base model'}: "
        f"{explanation['lead'] or 'none known'}; "
        f"{explanation['waiting']} waiting here",
    ]
    if explanation["candidates"]:
        lines.append(tabulate(explanation["candidates"], headers="keys"))
    return "\n".join(lines)


def format_verdict(explanation: dict) -> str:
    """Return the verdict: refused, dispatched to an endpoint, or waiting for a load."""
    if explanation["verdict"] == REFUSED_VERDICT:
        retry_hint = (
            f", retry after {explanation['retry_after_s']:g} s"
            if explanation["retry_after_s"]
            else ""
        )
        return f"refused: {explanation['reason']}{retry_hint}"
    if explanation["endpoint"]:
        return f"{explanation['ref']} goes to {explanation['endpoint']} now"
    ready_in_s = explanation["ready_in_s"]
    ready_hint = "not known yet" if ready_in_s is None else f"in {ready_in_s:.2f} s"
    return f"{explanation['ref']} waits for a load; expected ready {ready_hint}"


def check(session: OperatorSession, command: arguments.Check) -> ExitStatus:
    """Report that the settings are valid; loading them has already raised any fault."""
    site = session.site
    counts = {
        "site": site.name,
        "entries": len(site.entries),
        "endpoints": len(site.endpoints),
        "services": len(site.services),
    }
    session.print_result(
        counts, ", ".join(f"{key} {value}" for key, value in counts.items()) + ": ok"
    )
    return ExitStatus.OK


HANDLERS = {
    arguments.AdapterShow: adapter_show,
    arguments.AdapterList: adapter_list,
    arguments.CallerList: caller_list,
    arguments.PresetShow: preset_show,
    arguments.PresetList: preset_list,
    arguments.EndpointList: endpoint_list,
    arguments.Status: status,
    arguments.Explain: explain,
    arguments.Check: check,
}
