"""Commands that change a site: adapters, versions, callers, presets and drains."""

from attrs import evolve

from poplarhoist.ctl import arguments
from poplarhoist.ctl.adapters import merge_adapter, read_adapters
from poplarhoist.ctl.presets import merge_preset, read_values
from poplarhoist.ctl.session import OperatorSession
from poplarhoist.ctl.tables import read_tables
from poplarhoist.entry.platform import token_digest
from poplarhoist.errors import ConflictError, EntryError, NotFoundError, SettingsError
from poplarhoist.models import Adapter, Caller, Preset, PresetKind, VersionState
from poplarhoist.publish import Draft
from poplarhoist.status import ExitStatus


def adapter_create(session: OperatorSession, command: arguments.AdapterCreate) -> ExitStatus:
    """Add an adapter; fails with a conflict if it exists."""

    def edit(draft: Draft) -> None:
        if draft.get_adapter(command.name) is not None:
            raise ConflictError("exists already", "create-adapter", command.name)
        draft.put_adapter(Adapter(command.name, command.base, callers=command.caller))

    return session.apply_change(edit, command.wait_s)


def adapter_import(session: OperatorSession, command: arguments.AdapterImport) -> ExitStatus:
    """Add adapters, or versions of existing ones, in one change."""
    tables = read_adapters(command.file)

    def edit(draft: Draft) -> None:
        for name, table in tables.items():
            draft.put_adapter(merge_adapter(draft.get_adapter(name), name, table))

    return session.apply_change(edit, command.wait_s)


def version_publish(session: OperatorSession, command: arguments.VersionPublish) -> ExitStatus:
    """Publish a version and make it the current one, even if a higher one is published."""
    if command.version < 1:
        raise SettingsError(f"expected 1 or more, got {command.version}", "publish", "version")

    def edit(draft: Draft) -> None:
        adapter = find_adapter(draft, command.adapter)
        versions = {**adapter.versions, str(command.version): VersionState.PUBLISHED}
        draft.put_adapter(evolve(adapter, versions=versions, current=command.version))

    return session.apply_change(edit, command.wait_s)


def version_withdraw(session: OperatorSession, command: arguments.VersionWithdraw) -> ExitStatus:
    """Withdraw a version; if it was current, the highest published one becomes current."""

    def edit(draft: Draft) -> None:
        adapter = find_adapter(draft, command.adapter)
        if str(command.version) not in adapter.versions:
            raise NotFoundError("no such version", "withdraw", str(command.version))
        versions = {**adapter.versions, str(command.version): VersionState.WITHDRAWN}
        published_versions = [
            int(v) for v, state in versions.items() if state is VersionState.PUBLISHED
        ]
        current = adapter.current
        if current == command.version:
            current = max(published_versions, default=0)
        draft.put_adapter(evolve(adapter, versions=versions, current=current))

    return session.apply_change(edit, command.wait_s)


def find_adapter(draft: Draft, name: str) -> Adapter:
    """Return an adapter of a draft.

    Raises
    ------
    NotFoundError
        If there is no adapter of that name.
    """
    adapter = draft.get_adapter(name)
    if adapter is None:
        raise NotFoundError("no such adapter", "find-adapter", name)
    return adapter


def caller_put(session: OperatorSession, command: arguments.CallerPut) -> ExitStatus:
    """Add or change a caller; the token itself is neither stored nor sent."""
    token = command.token or session.env.stdin.readline().strip()
    if not token:
        raise SettingsError("expected a token, got nothing", "put-caller", command.name)
    caller = Caller(command.name, token_digest(token), command.priority)
    return session.apply_change(lambda draft: draft.put_caller(caller), command.wait_s)


def caller_remove(session: OperatorSession, command: arguments.CallerRemove) -> ExitStatus:
    """Remove a caller; fails if it does not exist."""

    def edit(draft: Draft) -> None:
        if not draft.remove_caller(command.name):
            raise NotFoundError("no such caller", "remove-caller", command.name)

    return session.apply_change(edit, command.wait_s)


def preset_put(session: OperatorSession, command: arguments.PresetPut) -> ExitStatus:
    """Add or change one preset, or all presets of a file.

    If no preset is in force yet, the first one of the change is put in force.
    """
    values_by_name = read_tables(command.file) if command.file else {}
    if command.name:
        values = values_by_name.get(command.name, {} if command.file is None else None)
        if values is None:
            raise NotFoundError("no such preset in the file", "put-preset", command.name)
        values_by_name = {command.name: {**values, **read_values(command.set)}}
    elif not command.file or command.set:
        raise SettingsError("expected the name of a preset, or a file alone", "put-preset")
    source = command.file or "--set"

    def edit(draft: Draft) -> None:
        existing = draft.load_presets()
        for name, values in values_by_name.items():
            draft.put_preset(merge_preset(existing.get(name, default_preset(name)), values, source))
        if not draft.preset:
            draft.preset = next(iter(values_by_name))

    return session.apply_change(edit, command.wait_s)


def default_preset(name: str) -> Preset:
    """Return a preset with default values; its kind is its name if that is a kind."""
    kinds = {kind.value: kind for kind in PresetKind}
    return Preset(name, kind=kinds.get(name, PresetKind.ORDINARY))


def preset_use(session: OperatorSession, command: arguments.PresetUse) -> ExitStatus:
    """Put an existing preset in force."""

    def edit(draft: Draft) -> None:
        if command.name not in draft.load_presets():
            known_names = ", ".join(draft.load_presets()) or "none"
            raise NotFoundError(
                f"no such preset; there are {known_names}", "use-preset", command.name
            )
        draft.select_preset(command.name)

    return session.apply_change(edit, command.wait_s)


def drain(session: OperatorSession, command: arguments.Drain) -> ExitStatus:
    """Drain an entry; with a wait, until the entry no longer responds."""
    entry = session.find_entry(command.entry)
    session.call_entry(entry, "POST", "/admin/drain")

    def has_stopped() -> bool:
        try:
            session.call_entry(entry, "GET", "/admin/status")
        except EntryError:
            return True
        return False

    if command.wait_s <= 0:
        session.print_result({"draining": entry.name}, f"{entry.name} is draining")
        return ExitStatus.OK
    if session.wait_until(has_stopped, command.wait_s):
        session.print_result({"stopped": entry.name}, f"{entry.name} has stopped")
        return ExitStatus.OK
    session.print_result({"draining": entry.name}, f"{entry.name} is still draining")
    return ExitStatus.TIMEOUT


HANDLERS = {
    arguments.AdapterCreate: adapter_create,
    arguments.AdapterImport: adapter_import,
    arguments.VersionPublish: version_publish,
    arguments.VersionWithdraw: version_withdraw,
    arguments.CallerPut: caller_put,
    arguments.CallerRemove: caller_remove,
    arguments.PresetPut: preset_put,
    arguments.PresetUse: preset_use,
    arguments.Drain: drain,
}
