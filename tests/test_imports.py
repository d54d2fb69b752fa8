"""Imports run one way: no circles, and decisions know nothing of what carries them out."""

import ast
from pathlib import Path

import pytest

import poplarhoist

ROOT = Path(poplarhoist.__file__).parent
# Modules of the own interface's decisions that import each other in a circle; see
# docs/design/one-core.md. The number may only fall.
KNOWN_IN_CIRCLES = 29
# Packages, and those that they must not import.
FORBIDDEN = {
    "decisions": (
        "entry",
        "gateway",
        "platform",
        "replay",
        "load",
        "cli",
        "ctl",
        "demo",
        "standins",
    ),
    "decisions/gateway": ("decisions.effects", "decisions.events", "decisions.messages"),
    "gateway": ("platform", "replay", "load", "cli", "ctl", "demo", "standins"),
    "platform": ("replay", "load", "ctl", "demo", "standins"),
    "entry": ("gateway", "platform", "replay", "load", "cli", "ctl", "demo", "standins"),
}


def imports_of(path: Path) -> set[str]:
    """Return the modules of this package that a file imports, without the package's name."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("poplarhoist."):
            module = node.module.removeprefix("poplarhoist.")
            names |= {module} | {f"{module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            names |= {
                alias.name.removeprefix("poplarhoist.")
                for alias in node.names
                if alias.name.startswith("poplarhoist.")
            }
    return names


def module_name(path: Path) -> str:
    return ".".join(path.relative_to(ROOT).with_suffix("").parts)


IMPORTS_BY_MODULE = {module_name(path): imports_of(path) for path in sorted(ROOT.rglob("*.py"))}


def modules_in_circles(prefix: str) -> set[str]:
    """Return the modules of a package that import themselves over others of it."""
    inside = {name for name in IMPORTS_BY_MODULE if name.startswith(prefix)}

    def reachable(start: str) -> set[str]:
        seen: set[str] = set()
        pending = [start]
        while pending:
            for name in IMPORTS_BY_MODULE[pending.pop()] & inside - seen:
                seen.add(name)
                pending.append(name)
        return seen

    return {name for name in inside if name in reachable(name)}


@pytest.mark.parametrize(
    "package", ["decisions.gateway", "gateway", "platform", "entry", "ctl", "settings", "load"]
)
def test_package_has_no_circle_of_imports(package):
    assert modules_in_circles(f"{package}.") == set()


def test_circles_in_the_decisions_of_the_own_interface_do_not_grow():
    assert len(modules_in_circles("decisions.")) <= KNOWN_IN_CIRCLES


@pytest.mark.parametrize("package", FORBIDDEN)
def test_package_imports_nothing_from_those_that_build_on_it(package):
    prefix = package.replace("/", ".") + "."
    wrong = {
        (name, imported)
        for name, imports in IMPORTS_BY_MODULE.items()
        if name.startswith(prefix)
        for imported in imports
        for other in FORBIDDEN[package]
        if imported == other or imported.startswith(f"{other}.")
    }
    assert wrong == set()
