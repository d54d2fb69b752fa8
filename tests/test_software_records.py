"""Records of software versions at the store, by its protocol."""

import pytest

from poplarhoist.clock import SystemClock
from poplarhoist.decisions.gateway.events import CallStatus, SoftwareRecordSeen
from poplarhoist.decisions.gateway.models import ServiceVersion
from poplarhoist.platform.decoder import SOFTWARE_KIND
from poplarhoist.platform.documents import MAX_TEXT_CHARACTERS
from poplarhoist.platform.store import ObjectStore
from tests.platform_standins import Endpoint
from tests.platform_store import Store
from tests.standin_server import HOST


@pytest.fixture
def store():
    store = Store()
    yield store
    store.stop()


def read_versions(client: ObjectStore) -> set[ServiceVersion]:
    """Return the versions that the store has records of."""
    events = client.read_all(SOFTWARE_KIND).events
    return {event.service_version for event in events if isinstance(event, SoftwareRecordSeen)}


@pytest.mark.parametrize("version", ["v1", "", "v1/b c?d#e%2F&@.", "v" * MAX_TEXT_CHARACTERS])
def test_record_is_read_as_it_was_written(store, version):
    client = ObjectStore(f"{HOST}:{store.port}", SystemClock())
    client.read_all(SOFTWARE_KIND)
    recorded = ServiceVersion("models", version)
    others = {ServiceVersion("models", "other"), ServiceVersion("models.other", version)}
    for written in (recorded, recorded, *others):
        assert client.write_software(written) is CallStatus.OK
    assert read_versions(client) == {recorded, *others}
    # It is gone already the second time.
    for _ in range(2):
        assert client.remove_software(recorded) is CallStatus.OK
    assert read_versions(client) == others


def test_record_of_a_version_that_an_endpoint_has_is_not_removed(store):
    """The entry that removes it may not have seen the endpoint yet."""
    client = ObjectStore(f"{HOST}:{store.port}", SystemClock())
    client.read_all(SOFTWARE_KIND)
    recorded = ServiceVersion("models", "v1")
    client.write_software(recorded)
    endpoint = Endpoint("e1", "models")
    store.put("servers", "e1", endpoint.record())
    endpoint.stop()
    assert client.remove_software(recorded) is CallStatus.CONFLICT
    assert read_versions(client) == {recorded}
    store.remove("servers", "e1")
    assert client.remove_software(recorded) is CallStatus.OK
    assert read_versions(client) == set()
