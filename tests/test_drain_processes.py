"""A graceful stop under load cuts no request."""

import signal
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest
from urllib3.exceptions import HTTPError

from poplarhoist.entry.http import never_sent
from tests.site import wait_until

CALLERS = 8
TOKENS = 30
WHOLE, REFUSED, NOT_SENT, CUT = "whole", "refused", "not sent", "cut"


def call(site, number: int) -> str:
    """Request a stream from entry-1, which is stopped meanwhile; return how the call ended."""
    try:
        answer = site.request_completion("entry-1", tokens=TOKENS, stream=True, user=str(number))
        text = answer.read().decode()
    except HTTPError as error:
        return NOT_SENT if never_sent(error) else f"{CUT}: {error}"
    if answer.status == 503 and '"ran":"no"' in text:
        time.sleep(float(answer.headers["Retry-After"]))
        return REFUSED
    whole = text.count(" plans@1:") == TOKENS and text.endswith("data: [DONE]\n\n")
    return WHOLE if whole else f"{CUT}: {answer.status} {text[-200:]}"


@pytest.mark.parametrize("by", ["signal", "command"])
def test_a_graceful_stop_cuts_no_request(running_site, by):
    site = running_site(entries=2, engines=2)
    assert call(site, 0) == WHOLE
    ends: Counter = Counter()

    def call_until_refused_connection(caller: int) -> None:
        ended = ""
        while ended in ("", WHOLE, REFUSED):
            ended = call(site, caller)
            ends[ended] += 1

    with ThreadPoolExecutor(CALLERS) as pool:
        calls = [pool.submit(call_until_refused_connection, number) for number in range(CALLERS)]
        wait_until(lambda: ends[WHOLE] >= CALLERS, what="answers before the stop")
        if by == "signal":
            site.send_signal("entry-1", signal.SIGTERM)
        else:
            site.run_ctl("drain", "entry-1")
        for item in calls:
            item.result(timeout=30)
    assert site.processes["entry-1"].wait(timeout=10) == 0
    assert set(ends) <= {WHOLE, REFUSED, NOT_SENT}
    assert ends[NOT_SENT] == CALLERS
