"""The status document of an entry for operators."""

from poplarhoist.decisions.state import State


def describe_entry(state: State, at: float) -> dict[str, object]:
    """Return the entry's state as JSON data; ``at`` is the present monotonic time in seconds."""
    return {
        "entry": state.me.name,
        "boot": state.boot,
        "revision": state.config.revision,
        "preset": state.config.preset.name,
        "draining": state.draining,
        "waiting": state.admission.waiting_count,
        "requests": len(state.requests),
        "queues": {
            str(ref): len(queue.request_ids)
            for ref, queue in state.admission.queues.items()
            if queue.request_ids
        },
        "leads": {base: board.epoch for base, board in state.boards.items()},
        "known_leads": {
            base: view.holder
            for base, view in state.leadership.leases_by_base.items()
            if view.holder
        },
        "grants": {
            str(ref): sorted(by_endpoint) for ref, by_endpoint in state.grants.by_ref.items()
        },
        "endpoints": {
            name: {
                "kind": view.endpoint.kind,
                "serves": view.endpoint.serves,
                "zone": view.endpoint.place.zone,
                "slots": view.endpoint.slots,
                "running": view.report.running if view.report else None,
                "waiting": view.report.waiting if view.report else None,
                "leaving": view.leaving,
                "silent": view.silent_since is not None,
                "resident": sorted(view.report.resident) if view.report else [],
                "report_age_s": round(at - view.sampled_at, 3) if view.report else None,
            }
            for name, view in state.members.endpoints.items()
        },
        "peers": {
            name: {"revision": peer.revision, "silent_s": seconds_since_heard(at, peer.heard_at)}
            for name, peer in state.members.peers.items()
        },
    }


def seconds_since_heard(at: float, heard_at: float) -> float | None:
    """Return the seconds since a peer was last heard; None if it was never heard."""
    return round(at - heard_at, 3) if heard_at > float("-inf") else None
