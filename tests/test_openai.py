"""The ``openai`` client library against a running entry, as a check of API compatibility."""

import openai
import pytest

from poplarhoist.entry.platform import token_digest
from poplarhoist.models import Adapter, Caller
from tests.site import TOKEN, RunningSite, SiteFile, wait_until

OTHER_TOKEN = "token-of-a-crew"
EXPECTED_TEXT = "".join(f" plans@1:{index}" for index in range(4))


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site = RunningSite(SiteFile(tmp_path_factory.mktemp("openai") / "site.toml", entries=1))
    site.start()

    def edit(draft) -> None:
        draft.put_caller(Caller("crew", token_digest(OTHER_TOKEN)))
        draft.put_adapter(Adapter("private", "base", {"1": "published"}, 1, ("family",)))

    revision = site.publish(edit).revision
    wait_until(lambda: site.read_status("entry-1")["revision"] >= revision)
    yield site
    site.stop()


def make_client(site, token: str = TOKEN) -> openai.OpenAI:
    base = f"http://127.0.0.1:{site.file.entry_ports['entry-1']}/v1"
    return openai.OpenAI(api_key=token, base_url=base, max_retries=0, timeout=20.0)


def messages() -> list[dict[str, str]]:
    return [{"role": "user", "content": "a ramp"}]


def test_completion(site):
    completion = make_client(site).completions.create(model="plans", prompt="a ramp", max_tokens=4)
    assert (completion.model, completion.choices[0].text) == ("plans@1", EXPECTED_TEXT)
    assert completion.usage.completion_tokens == 4


def test_chat_completion(site):
    completion = make_client(site).chat.completions.create(
        model="plans@1", messages=messages(), max_tokens=4
    )
    assert completion.choices[0].message.content == EXPECTED_TEXT
    assert completion.choices[0].finish_reason == "stop"


def test_streaming(site):
    chunks = list(
        make_client(site).chat.completions.create(
            model="plans", messages=messages(), max_tokens=4, stream=True
        )
    )
    assert "".join(chunk.choices[0].delta.content or "" for chunk in chunks) == EXPECTED_TEXT
    assert {chunk.model for chunk in chunks} == {"plans@1"}
    chunks = make_client(site).completions.create(
        model="plans", prompt="a ramp", max_tokens=4, stream=True
    )
    assert "".join(chunk.choices[0].text for chunk in chunks) == EXPECTED_TEXT


def test_list_models(site):
    assert {model.id for model in make_client(site).models.list()} == {"plans", "private"}
    assert {model.id for model in make_client(site, OTHER_TOKEN).models.list()} == {"plans"}


@pytest.mark.parametrize(
    ("token", "model", "error", "reason"),
    [
        ("nobody", "plans", openai.AuthenticationError, "unknown-caller"),
        (OTHER_TOKEN, "private", openai.PermissionDeniedError, "caller-not-allowed"),
        (TOKEN, "none", openai.NotFoundError, "unknown-adapter"),
        (TOKEN, "plans@9", openai.NotFoundError, "unknown-version"),
        (TOKEN, "", openai.NotFoundError, "unknown-adapter"),
    ],
)
def test_refusals_raise_the_client_exceptions(site, token, model, error, reason):
    with pytest.raises(error) as raised:
        make_client(site, token).completions.create(model=model, prompt="a ramp")
    assert raised.value.code == reason
    assert raised.value.body["message"].endswith("(ran: no)")
    body = raised.value.response.json()
    assert (body["reason"], body["ran"]) == (reason, "no")
    assert raised.value.request_id == body["request_id"]


def test_an_interrupted_stream_raises_an_error(site):
    stream = make_client(site).completions.create(
        model="plans", prompt="a ramp", max_tokens=400, stream=True
    )
    text = next(stream).choices[0].text
    engine_names = [n for n in site.file.engine_ports if "plans@1" in site.read_state(n)["slots"]]
    site.set_faults(engine_names[0], restart=True)
    with pytest.raises(openai.APIError) as raised:
        list(stream)
    assert text == " plans@1:0"
    assert "(ran: unknown)" in raised.value.message
