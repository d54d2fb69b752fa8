"""Settings files: error messages of invalid ones, and limits read from valid ones."""

import io
from pathlib import Path

import pytest

from poplarhoist.cli.ctl import main
from poplarhoist.context import Environment
from poplarhoist.ctl.presets import merge_preset
from poplarhoist.ctl.tables import read_tables
from poplarhoist.decisions.limits import Limits
from poplarhoist.models import EndpointKind, Preset, PresetKind
from poplarhoist.settings.loader import load_site, to_limits
from poplarhoist.status import ExitStatus
from tests.site import ROOT

VALID_SETTINGS = """
name = "small"
[platform]
host = "127.0.0.1"
port = 4000
[interfaces]
peer_key = "peer-key-0"
operator_key = "operator-key-0"
[timings]
lease_s = 4
[[entries]]
name = "entry-1"
region = "r1"
zone = "r1-a"
host = "127.0.0.1"
port = 4001
[[endpoints]]
name = "engine-1"
kind = "engine"
serves = "base"
region = "r1"
zone = "r1-a"
host = "127.0.0.1"
port = 4002
"""


def write_settings(folder: Path, text: str) -> Path:
    path = folder / "site.toml"
    path.write_text(text)
    return path


def run_check(path: Path) -> tuple[ExitStatus, str, str]:
    out, err = io.StringIO(), io.StringIO()
    status = main(["check", "--settings", str(path)], Environment(io.StringIO(), out, err))
    return status, out.getvalue(), err.getvalue()


def test_valid_settings_set_the_limits(tmp_path):
    path = write_settings(tmp_path, VALID_SETTINGS)
    assert run_check(path)[:2] == (
        ExitStatus.OK,
        "site small, entries 1, endpoints 1, services 0: ok\n",
    )
    limits = to_limits(load_site(path))
    assert (limits.lease_s, limits.lease_use_s) == (4.0, Limits().lease_use_s)


@pytest.mark.parametrize(
    ("old", "new", "expected_message"),
    [
        ('name = "small"', 'name = "a b"', "('a b' doesn't) @ name"),
        ("port = 4000", "port = 70000", "must be <= 65535: 70000 @ platform.port"),
        ("port = 4001", 'port = "4001"', "expected int, got '4001' @ entries[0].port"),
        ("port = 4001", "port = true", "expected int, got True @ entries[0].port"),
        ("port = 4002", "", "missing key @ endpoints[0].port"),
        ('kind = "engine"', 'kind = "motor"', "expected one of engine, service, got 'motor'"),
        ("lease_s = 4", "lease = 4", "unknown key; expected one of lease_s"),
        ("lease_s = 4", "lease_s = 1", "lease_use_s 2 must be less than lease_s 1 @ timings"),
        ("port = 4002", "port = 4001", "address 127.0.0.1:4001 is used more than once"),
        ('kind = "engine"', 'kind = "service"', "expected the name of a service, got 'base'"),
        ("[platform]", "platform = 3\n[other]", "expected a table, got 3 @ platform"),
        ("[platform]", "[platform", "line 3"),
    ],
)
def test_error_names_file_key_and_value(tmp_path, old, new, expected_message):
    path = write_settings(tmp_path, VALID_SETTINGS.replace(old, new, 1))
    status, out, err = run_check(path)
    assert (status, out) == (ExitStatus.USAGE, "")
    assert expected_message in err
    assert str(path) in err


def test_all_errors_are_reported_together(tmp_path):
    text = (
        VALID_SETTINGS.replace("4000", "0")
        .replace('"operator-key-0"', "5")
        .replace("peer-key-0", "x")
    )
    path = write_settings(tmp_path, text.replace('kind = "engine"', 'kind = "motor"\ncolour = 1'))
    with pytest.raises(ExceptionGroup) as raised:
        load_site(path)
    keys = [str(error).rpartition("@ ")[2] for error in raised.value.exceptions]
    assert keys == [
        "platform.port",
        "interfaces.peer_key",
        "interfaces.operator_key",
        "endpoints[0].kind",
        "endpoints[0].colour",
    ]


def test_missing_file_is_reported(tmp_path):
    status, _, err = run_check(tmp_path / "none.toml")
    assert status == ExitStatus.USAGE
    assert "No such file" in err


@pytest.mark.parametrize(
    ("name", "zones", "engines", "services", "loads_per_s"),
    [
        ("qasr", {"amman-a", "amman-b", "irbid-a"}, 9, 3, 4.0),
        ("tornos", {"piraeus", "marousi", "thessaloniki"}, 5, 3, 2.0),
    ],
)
def test_examples_are_complete_sites(name, zones, engines, services, loads_per_s):
    folder = ROOT / "examples" / name
    site = load_site(folder / "site.toml")
    assert {entry.zone for entry in site.entries} == zones
    assert 6 <= len(site.entries) <= 9
    kinds = [endpoint.kind for endpoint in site.endpoints]
    assert kinds.count(EndpointKind.ENGINE) == engines
    assert kinds.count(EndpointKind.SERVICE) == services
    assert (site.store.loads_per_s, site.store.in_flight) == (loads_per_s, 8)
    assert site.link.bits_per_s == 15_000_000
    routes = [route.repeat for service in site.services for route in service.routes]
    assert {True, False} <= set(routes)
    presets = load_example_presets(folder)
    assert [preset.kind for preset in presets] == list(PresetKind)
    stalls_first = all(preset.stall_weight > preset.batch_weight for preset in presets)
    batches_first = all(preset.stall_weight < preset.batch_weight for preset in presets)
    assert (stalls_first, batches_first) == (name == "qasr", name == "tornos")


def load_example_presets(folder: Path) -> list[Preset]:
    values_by_name = read_tables(folder / "presets.toml")
    return [merge_preset(Preset(name), values, folder) for name, values in values_by_name.items()]
