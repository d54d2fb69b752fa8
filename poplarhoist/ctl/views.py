"""Commands that only look: lists, status, explain, check."""

from tabulate import tabulate

from poplarhoist import wire
from poplarhoist.ctl import arguments
from poplarhoist.ctl.changes import existing_adapter
from poplarhoist.ctl.operator import Operator
from poplarhoist.errors import EntryError, NotFoundError
from poplarhoist.models import EndpointKind
from poplarhoist.status import ExitStatus

REFUSED = "refused"


def adapter_show(operator: Operator, command: arguments.AdapterShow) -> ExitStatus:
    """Show an adapter."""
    operator.show_object(existing_adapter(operator.read(), command.name))
    return ExitStatus.OK


def adapter_list(operator: Operator, command: arguments.AdapterList) -> ExitStatus:
    """List the adapters."""
    adapters = operator.read().load_adapters().values()
    operator.show_table([wire.dump(adapter) for adapter in adapters])
    return ExitStatus.OK


def caller_list(operator: Operator, command: arguments.CallerList) -> ExitStatus:
    """List the callers, without the digests of their tokens."""
    callers = operator.read().load_callers().values()
    operator.show_table([{"name": c.name, "priority": c.priority} for c in callers])
    return ExitStatus.OK


def preset_show(operator: Operator, command: arguments.PresetShow) -> ExitStatus:
    """Show a preset."""
    draft = operator.read()
    name = command.name or draft.preset
    preset = draft.load_presets().get(name)
    if preset is None:
        raise NotFoundError("no such preset", "show-preset", name)
    operator.show_object(preset)
    return ExitStatus.OK


def preset_list(operator: Operator, command: arguments.PresetList) -> ExitStatus:
    """List the presets and say which one is in force."""
    draft = operator.read()
    rows = []
    for preset in draft.load_presets().values():
        in_force = "yes" if preset.name == draft.preset else "no"
        rows.append({"name": preset.name, "kind": preset.kind, "in_force": in_force})
    operator.show_table(rows)
    return ExitStatus.OK


def endpoint_list(operator: Operator, command: arguments.EndpointList) -> ExitStatus:
    """List the endpoints as the first entry that answers knows them."""
    endpoints = operator.ask_first("/admin/status")["endpoints"]
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
    operator.show_table(rows)
    return ExitStatus.OK


def status(operator: Operator, command: arguments.Status) -> ExitStatus:
    """Show every entry; tells by the exit status whether all answered."""
    found_by_name: dict[str, dict] = {}
    for entry in operator.site.entries:
        try:
            found_by_name[entry.name] = operator.ask(entry, "GET", "/admin/status")
        except EntryError as error:
            found_by_name[entry.name] = {"error": error.message}
    rows = [status_row(name, found) for name, found in found_by_name.items()]
    operator.show(found_by_name, tabulate(rows, headers="keys"))
    silent = any("error" in found for found in found_by_name.values())
    return ExitStatus.UNAVAILABLE if silent else ExitStatus.OK


def status_row(name: str, found: dict) -> dict[str, object]:
    """Return an entry's row of the table."""
    if "error" in found:
        return {"entry": name, "state": found["error"]}
    return {
        "entry": name,
        "state": "draining" if found["draining"] else "serving",
        "revision": found["revision"],
        "preset": found["preset"],
        "leads": listed(f"{base} (epoch {epoch})" for base, epoch in found["leads"].items()),
        "requests": found["requests"],
        "queues": listed(f"{ref} {count}" for ref, count in found["queues"].items()),
        "refused": listed(f"{reason} {count:g}" for reason, count in found["refused"].items()),
    }


def listed(items) -> str:
    """Join items for a cell of a table, a line each."""
    return "\n".join(items)


def explain(operator: Operator, command: arguments.Explain) -> ExitStatus:
    """Explain where a request would go, or why it would be refused."""
    fields = {
        "model": command.model,
        "caller": command.caller,
        "deadline_s": f"{command.deadline_s:g}",
    }
    path = "/admin/explain"
    if command.entry:
        found = operator.ask(operator.entry(command.entry), "GET", path, **fields)
    else:
        found = operator.ask_first(path, **fields)
    operator.show(found, explanation(found))
    return ExitStatus.REFUSED if found["verdict"] == REFUSED else ExitStatus.OK


def explanation(found: dict) -> str:
    """Return an explanation for people."""
    lines = [
        f"asked of {found['entry']} at revision {found['revision']}, preset {found['preset']}",
        verdict_line(found),
        f"lead of {found['base'] or 'the base model'}: {found['lead'] or 'none known'}; "
        f"{found['waiting']} waiting here",
    ]
    if found["candidates"]:
        lines.append(tabulate(found["candidates"], headers="keys"))
    return "\n".join(lines)


def verdict_line(found: dict) -> str:
    """Return what becomes of the request."""
    if found["verdict"] == REFUSED:
        again = f", retry after {found['retry_after_s']:g} s" if found["retry_after_s"] else ""
        return f"refused: {found['reason']}{again}"
    if found["endpoint"]:
        return f"{found['ref']} goes to {found['endpoint']} now"
    ready_in_s = found["ready_in_s"]
    expected = "not known yet" if ready_in_s is None else f"in {ready_in_s:.2f} s"
    return f"{found['ref']} waits for a load; expected ready {expected}"


def check(operator: Operator, command: arguments.Check) -> ExitStatus:
    """Report that the settings can be used; loading them raised every fault."""
    site = operator.site
    counts = {
        "site": site.name,
        "entries": len(site.entries),
        "endpoints": len(site.endpoints),
        "services": len(site.services),
    }
    operator.show(counts, ", ".join(f"{key} {value}" for key, value in counts.items()) + ": ok")
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
