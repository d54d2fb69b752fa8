"""Mutations of an entry, each of which disables one protection; the soak must detect them."""

# Python statements by name, executed before the entry starts.
MUTATIONS_BY_NAME = {
    "at-most-once": (
        "import poplarhoist.decisions.gateway.requests as requests\n"
        "requests.may_retry = lambda state, request, event, effects: (\n"
        "    not event.delivered and request.attempt < 3)"
    ),
    "places": (
        "import poplarhoist.decisions.gateway.residency as residency\n"
        "residency.adapter_capacity = lambda profile, models: profile.adapter_slots + 2"
    ),
    "fencing": (
        "import attrs\n"
        "import poplarhoist.platform.dialect as dialect\n"
        "build = dialect.PlatformDialect.build_order_request\n"
        "dialect.PlatformDialect.build_order_request = lambda self, order, holder: build(\n"
        "    self, attrs.evolve(order, epoch=1), holder)"
    ),
    "drain": (
        "import attrs\n"
        "import poplarhoist.decisions.gateway.endpoints as endpoints\n"
        "on_seen = endpoints.on_seen\n"
        "def ignore_draining(state, event, out):\n"
        "    record = attrs.evolve(event.record, draining=False)\n"
        "    on_seen(state, attrs.evolve(event, record=record), out)\n"
        "endpoints.on_seen = ignore_draining\n"
        "import poplarhoist.decisions.gateway.reducer as reducer\n"
        "from poplarhoist.decisions.gateway import events\n"
        "reducer.HANDLERS[events.EndpointSeen] = ignore_draining"
    ),
    "refusal": (
        "import poplarhoist.gateway.callers as callers\n"
        "refuse = callers.RequestHandler.refuse\n"
        "import attrs\n"
        "callers.RequestHandler.refuse = lambda self, effect: refuse(\n"
        "    self, attrs.evolve(effect, ran=False))"
    ),
    "whole-events": (
        "import poplarhoist.gateway.exchange as exchange\n"
        "exchange.Exchange.is_event_stream = lambda self: self.request.last_event_id != ''"
    ),
    "software": (
        "import poplarhoist.decisions.gateway.streams as streams\n"
        "streams.runs_software = lambda endpoint, request: True\n"
        "streams.place_unknown = lambda *args: streams.Placement.PLACE"
    ),
    "pause": (
        "import poplarhoist.decisions.gateway.pauses as pauses\n"
        "pauses.on_notice = lambda *args: None"
    ),
    "leaving": (
        "import poplarhoist.decisions.gateway.endpoints as endpoints\n"
        "endpoints.on_said_leaving = lambda *args: None"
    ),
    "field-lines": (
        "import http.client\n"
        "import poplarhoist.entry.strict_response as strict_response\n"
        "strict_response.StrictResponse.read_fields = (\n"
        "    lambda self: http.client.parse_headers(self.fp))"
    ),
    "deadline": (
        "import poplarhoist.gateway.exchange as exchange\n"
        "exchange.Exchange.expire = lambda self: None\n"
        "exchange.Exchange.remaining_s = lambda self: 8.0"
    ),
}
