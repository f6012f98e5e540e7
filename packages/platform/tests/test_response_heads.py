"""Heads of responses that are, and are not, proper HTTP."""

from __future__ import annotations

import asyncio
import random

import aiohttp
import pytest

from poplarwick_platform import http_session
from poplarwick_standins import raw_endpoint

SEEDS = 5
TIMEOUT_S = 20
SESSIONS = {
    "unshared": http_session.make_unshared_session,
    "timed": lambda: http_session.make_timed_session(TIMEOUT_S),
}

SOUND_ANSWERS = raw_endpoint.make_sound_answers()


async def fetch(make_session, answer):
    async with raw_endpoint.RawEndpoint(answer) as endpoint:
        async with (
            asyncio.timeout(TIMEOUT_S),
            make_session() as session,
            session.get(
                f"http://{endpoint.address}", allow_redirects=False
            ) as response,
        ):
            return response.status, await http_session.read_body(
                response, 1_000
            )


def fetch_all(name, answers):
    async def run():
        return await asyncio.gather(
            *(fetch(SESSIONS[name], answer) for answer in answers),
            return_exceptions=True,
        )

    return asyncio.run(run())


@pytest.mark.parametrize("part", raw_endpoint.Part)
@pytest.mark.parametrize("session", sorted(SESSIONS))
def test_improper_head_is_no_response(session, part):
    answers = [
        raw_endpoint.draw_answer(rng, head + raw_endpoint.BODY)
        for rng in map(random.Random, range(SEEDS))
        for head in raw_endpoint.make_broken_heads(rng, part)
    ]
    results = fetch_all(session, answers)
    taken = [
        (answer, result)
        for answer, result in zip(answers, results, strict=True)
        if not isinstance(result, aiohttp.ClientError)
    ]
    assert taken == []


@pytest.mark.parametrize("session", sorted(SESSIONS))
def test_proper_head_is_a_response(session):
    for rng in map(random.Random, range(SEEDS)):
        answers = [
            raw_endpoint.draw_answer(
                rng, answer.data, (raw_endpoint.Ending.CLOSE,)
            )
            for answer in SOUND_ANSWERS.values()
        ]
        results = fetch_all(session, answers)
        assert dict(zip(SOUND_ANSWERS, results, strict=True)) == {
            name: (answer.status, raw_endpoint.BODY)
            for name, answer in SOUND_ANSWERS.items()
        }


@pytest.mark.parametrize("part", raw_endpoint.Part)
def test_head_is_checked_again_on_a_kept_connection(part):
    rng = random.Random(51)
    sound = SOUND_ANSWERS["length"].data

    async def run(broken):
        async with (
            raw_endpoint.RawEndpoint(
                raw_endpoint.Answer((sound,), ending=raw_endpoint.Ending.KEEP)
            ) as endpoint,
            http_session.make_timed_session(TIMEOUT_S) as session,
        ):
            url = f"http://{endpoint.address}"
            async with session.get(url) as response:
                assert await response.read() == raw_endpoint.BODY
            endpoint.answer = raw_endpoint.Answer((broken,))
            with pytest.raises(aiohttp.ClientError):
                await session.get(url)
            assert endpoint.connections == 1

    for head in raw_endpoint.make_broken_heads(rng, part):
        asyncio.run(run(head + raw_endpoint.BODY))


@pytest.mark.parametrize("session", sorted(SESSIONS))
def test_response_to_head_has_no_body_to_check(session):
    head = raw_endpoint.make_head(
        raw_endpoint.OK, [b"Transfer-Encoding: chunked"]
    )

    async def run():
        async with (
            raw_endpoint.RawEndpoint(raw_endpoint.Answer((head,))) as endpoint,
            SESSIONS[session]() as open_session,
            open_session.head(f"http://{endpoint.address}") as response,
        ):
            return await http_session.read_body(response, 1)

    assert asyncio.run(run()) == b""
