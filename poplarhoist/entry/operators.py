"""What operators ask of an entry."""

from werkzeug.wrappers import Request, Response

from poplarhoist import wire
from poplarhoist.decisions import events as ev
from poplarhoist.decisions.explain import Question, explain
from poplarhoist.entry.callers import DEFAULT_DEADLINE_S
from poplarhoist.entry.core import Core
from poplarhoist.entry.status import describe_entry
from poplarhoist.entry.web import bearer_token, json_response, require_key


class OperatorApi:
    """Takes the requests of operators, who hold a shared key."""

    def __init__(self, core: Core, key: str) -> None:
        self.core = core
        self.operator_key = key

    def handle_status(self, request: Request) -> Response:
        """Describe this entry."""
        require_key(bearer_token(request), self.operator_key)
        refused = self.core.metrics.totals_by_first_label("refused")
        return json_response(
            describe_entry(self.core.state, self.core.event_time()) | {"refused": refused}
        )

    def handle_explain(self, request: Request) -> Response:
        """Tell where a request would go now, or why it would be refused."""
        require_key(bearer_token(request), self.operator_key)
        question = Question(
            model=request.args.get("model", ""),
            caller=request.args.get("caller", ""),
            deadline_s=request.args.get("deadline_s", DEFAULT_DEADLINE_S, type=float),
        )
        return json_response(wire.dump(explain(self.core.state, question, self.core.event_time())))

    def handle_drain(self, request: Request) -> Response:
        """Begin a graceful stop."""
        require_key(bearer_token(request), self.operator_key)
        self.core.submit(ev.DrainAsked(self.core.event_time()))
        return json_response({"draining": True}, 202)
