"""Tests of the validation of completion requests."""

import json

import pytest

from poplarwick_configuration import document
from poplarwick_entry import parameters
from poplarwick_entry import request_errors

ORGANISATION = document.Organisation(id="a", keys=())
VIEW = document.View(
    1,
    document.Document(
        environment="trial",
        organisations=(ORGANISATION,),
        models=(
            document.Model(id="m", context_tokens=1_000, memory_tokens=10_000),
        ),
        domains=(),
        endpoints=(),
    ),
)


def parse(body, api=parameters.Api.COMPLETIONS, priority=None, timeout=None):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return parameters.parse_completion(
        api, body, ORGANISATION, VIEW, priority=priority, timeout=timeout
    )


def test_streamed_body_with_a_token_limit_is_forwarded_unchanged():
    body = b'{"model": "m",  "prompt": "x", "max_tokens": 3, "stream": true}'
    assert parse(body).body == body


def test_body_without_a_token_limit_gets_one():
    completion = parse({"model": "m", "prompt": "x", "seed": 7})
    sent = json.loads(completion.body)
    assert sent["max_tokens"] == completion.output_tokens
    assert sent["stream"] is True
    assert sent["seed"] == 7


def test_equal_prompts_have_equal_prefix_digests():
    long_prompt = "x" * 10_000
    first = parse({"model": "m", "prompt": "a" * 100, "max_tokens": 1})
    other_prompt = parse({"model": "m", "prompt": "b" * 100, "max_tokens": 1})
    same_prompt = parse({"model": "m", "prompt": "a" * 100, "max_tokens": 2})
    assert first.prefix_digests == same_prompt.prefix_digests
    assert first.prefix_digests != other_prompt.prefix_digests
    with pytest.raises(request_errors.RequestEndedError):
        parse({"model": "m", "prompt": long_prompt, "max_tokens": 1})


@pytest.mark.parametrize(
    ("body", "param"),
    [
        (b"{", None),
        (b"[]", None),
        (b'{"model": "m", "prompt": "\xff"}', None),
        ({"prompt": "x"}, None),
        ({"model": "m"}, "prompt"),
        ({"model": "m", "prompt": ""}, "prompt"),
        ({"model": "m", "prompt": 3}, "prompt"),
        ({"model": "m", "prompt": "x", "max_tokens": 0}, "max_tokens"),
        ({"model": "m", "prompt": "x", "max_tokens": "3"}, "max_tokens"),
        ({"model": "m", "prompt": "x", "stream": "yes"}, "stream"),
        ({"model": "absent", "prompt": "x"}, "model"),
    ],
)
def test_invalid_field_is_refused_and_named(body, param):
    with pytest.raises(request_errors.RequestEndedError) as caught:
        parse(body)
    assert caught.value.ending.param == param


@pytest.mark.parametrize("value", ["x", "11", "1.5", ""])
def test_invalid_priority_is_refused(value):
    with pytest.raises(request_errors.RequestEndedError):
        parse({"model": "m", "prompt": "x"}, priority=value)


@pytest.mark.parametrize("value", ["x", "0", "-1", "nan", "inf", "99999"])
def test_invalid_timeout_is_refused(value):
    with pytest.raises(request_errors.RequestEndedError):
        parse({"model": "m", "prompt": "x"}, timeout=value)
