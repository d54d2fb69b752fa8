"""HTTP interface for operators: status, explanation of routing, and drain."""

from werkzeug.wrappers import Request, Response

from poplarhoist import wire
from poplarhoist.decisions import events as ev
from poplarhoist.decisions.explain import Question, explain
from poplarhoist.entry.callers import DEFAULT_DEADLINE_S
from poplarhoist.entry.core import Core
from poplarhoist.entry.status import describe_entry
from poplarhoist.entry.web import bearer_token, json_response, require_key


class OperatorApi:
    """Handlers of the routes under ``/admin``; each requires the shared operator key."""

    def __init__(self, core: Core, operator_key: str) -> None:
        self.core = core
        self.operator_key = operator_key

    def handle_status(self, request: Request) -> Response:
        """Return the state of this entry and its refusal counts by reason."""
        require_key(bearer_token(request), self.operator_key)
        refusals_by_reason = self.core.metrics.totals_by_first_label("refused")
        return json_response(
            describe_entry(self.core.state, self.core.event_time())
            | {"refused": refusals_by_reason}
        )

    def handle_explain(self, request: Request) -> Response:
        """Return where a request would be routed now, or why it would be refused."""
        require_key(bearer_token(request), self.operator_key)
        question = Question(
            model=request.args.get("model", ""),
            caller=request.args.get("caller", ""),
            deadline_s=request.args.get("deadline_s", DEFAULT_DEADLINE_S, type=float),
        )
        return json_response(wire.dump(explain(self.core.state, question, self.core.event_time())))

    def handle_drain(self, request: Request) -> Response:
        """Start draining this entry; the process exits once it is drained."""
        require_key(bearer_token(request), self.operator_key)
        self.core.submit(ev.DrainAsked(self.core.event_time()))
        return json_response({"draining": True}, 202)
