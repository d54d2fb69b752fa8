"""Headers between two entries of which one passes on a request of the other's caller."""

import enum
from collections.abc import Iterable

from poplarhoist.decisions.gateway.models import RelayTerms
from poplarhoist.gateway.interfaces import Headers

# Lowest version of the configuration, attempts that may have run before, and the software version at
# which alone a stream may go on.
CONFIGURATION_HEADER = "Relay-Configuration"
POSSIBLE_RUNS_HEADER = "Relay-Possible-Runs"
SOFTWARE_HEADER = "Relay-Software"
# Team whose key the sending entry has found. Only the listener for other entries reads it.
TEAM_HEADER = "Relay-Team"
# Start and name of the run of the endpoint that responded.
ENDPOINT_HEADER = "Relay-Endpoint"
# How the entry itself ended the request, if no endpoint's response is passed on.
REFUSAL_HEADER = "Relay-Refusal"
RELAY_HEADERS = frozenset(
    name.lower()
    for name in (
        CONFIGURATION_HEADER,
        POSSIBLE_RUNS_HEADER,
        SOFTWARE_HEADER,
        TEAM_HEADER,
        ENDPOINT_HEADER,
        REFUSAL_HEADER,
    )
)


class Refusal(enum.StrEnum):
    """Whether an endpoint may have run a request that the entry itself ended."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


def without_relay_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that are not exchanged between entries only."""
    return [(name, value) for name, value in headers if name.lower() not in RELAY_HEADERS]


def build_request_headers(terms: RelayTerms) -> Headers:
    """Return the headers of a request to the entry that is to pass it on."""
    headers = [
        (CONFIGURATION_HEADER, str(terms.configuration_version)),
        (POSSIBLE_RUNS_HEADER, str(terms.possible_runs)),
    ]
    if terms.software_version is not None:
        headers.append((SOFTWARE_HEADER, terms.software_version))
    if terms.team:
        headers.append((TEAM_HEADER, terms.team))
    return headers


def parse_request_headers(headers: Iterable[tuple[str, str]]) -> RelayTerms:
    """Return what the entry asks for that sent a request.

    Raises
    ------
    ValueError
        If a header is missing or no number.
    """
    value_by_name = {name.lower(): value for name, value in headers}
    return RelayTerms(
        int(value_by_name.get(CONFIGURATION_HEADER.lower(), "")),
        int(value_by_name.get(POSSIBLE_RUNS_HEADER.lower(), "")),
        value_by_name.get(SOFTWARE_HEADER.lower()),
        value_by_name.get(TEAM_HEADER.lower(), ""),
    )


def build_endpoint_header(name: str, incarnation: int) -> tuple[str, str]:
    """Return the header that names the run of the endpoint that responded."""
    return ENDPOINT_HEADER, f"{incarnation} {name}"


def parse_endpoint_header(text: str | None) -> tuple[str, int] | None:
    """Return name and incarnation of the run that responded; None if the text does not tell."""
    incarnation, _, name = (text or "").partition(" ")
    return (name, int(incarnation)) if name and incarnation.isdigit() else None


def build_refusal_header(may_have_run: bool) -> tuple[str, str]:
    """Return the header of a response of the entry itself."""
    return REFUSAL_HEADER, Refusal.MAY_HAVE_RUN if may_have_run else Refusal.NOT_RUN
