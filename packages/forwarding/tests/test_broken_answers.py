"""Answers of endpoints in trouble, as the sender of requests takes them."""

from __future__ import annotations

import asyncio
import random

import direct_reach
import pytest

from poplarwick_adapter import dialect
from poplarwick_forwarding import buffer_budget
from poplarwick_forwarding import upstream
from poplarwick_standins import raw_endpoint

TIMEOUT_S = 20
BUFFER_BYTES = 65_536
SEEDS = 10


@pytest.fixture(autouse=True)
def fixture_ample_time(monkeypatch):
    """Hundreds of connections at once may take long on a busy machine."""
    monkeypatch.setattr(upstream, "CONNECT_TIMEOUT_S", TIMEOUT_S)


async def send(answer, body=b""):
    """Returns the body of the answer; None if it is no usable one."""
    budget = buffer_budget.BufferBudget(buffer_budget.make_limits(0))
    async with (
        raw_endpoint.RawEndpoint(answer) as endpoint,
        upstream.Upstream(
            dialect.PlatformDialect(), direct_reach.DIRECT, BUFFER_BYTES
        ) as sender,
        asyncio.timeout(TIMEOUT_S),
    ):
        request = upstream.Request("POST", "/", {"Request-Id": "r"}, body)
        try:
            async with sender.send(endpoint.address, request) as response:
                with budget.hold() as held:
                    return await response.read_body(held)
        except upstream.SendError as error:
            assert error.may_have_run
            return None


def send_all(answers, body=b""):
    async def run():
        return await asyncio.gather(*(send(a, body) for a in answers))

    return asyncio.run(run())


# Guards against statuses and fields that are passed on though they are no HTTP,
# and bodies that such fields have changed (MIXED).
@pytest.mark.parametrize("part", raw_endpoint.Part)
def test_answer_with_an_improper_head_is_not_usable(part):
    answers = [
        raw_endpoint.draw_answer(rng, head + raw_endpoint.BODY)
        for rng in map(random.Random, range(SEEDS))
        for head in raw_endpoint.make_broken_heads(rng, part)
    ]
    results = send_all(answers)
    taken = [
        (answer.parts, body)
        for answer, body in zip(answers, results, strict=True)
        if body is not None
    ]
    assert taken == []


# Guards against a part of a body that is passed on as the whole (MIXED).
@pytest.mark.parametrize("reads_body", [True, False])
@pytest.mark.parametrize("body", [b"", raw_endpoint.UPLOAD], ids=len)
def test_answer_that_is_reset_behind_an_upload_is_not_complete(
    body, reads_body
):
    answers = [
        raw_endpoint.draw_reset_answer(
            random.Random(seed), reads_body=reads_body
        )
        for seed in range(SEEDS)
    ]
    assert send_all(answers, body) == [None] * len(answers)
