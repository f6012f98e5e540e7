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

OK = raw_endpoint.OK
LENGTH = b"Content-Length: 5"
CHUNKED = b"5\r\nhello\r\n0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


def make_answer(status_line, *fields, body=raw_endpoint.BODY):
    return raw_endpoint.make_head(status_line, fields) + body


SOUND_ANSWERS = {
    "length": make_answer(OK, LENGTH),
    "ends_with_its_connection": make_answer(OK),
    "chunks": make_answer(OK, b"Transfer-Encoding: chunked", body=CHUNKED),
    "chunks_in_capitals": make_answer(
        OK, b"transfer-encoding: CHUNKED", body=CHUNKED
    ),
    "no_reason": make_answer(b"HTTP/1.1 200", LENGTH),
    "empty_reason": make_answer(b"HTTP/1.1 200 ", LENGTH),
    "long_reason": make_answer(b"HTTP/1.1 200 all \xe4\tis well", LENGTH),
    "version_1_0": make_answer(b"HTTP/1.0 200 OK", LENGTH),
    "continue_first": CONTINUE + make_answer(OK, LENGTH),
    "several_interim": CONTINUE + HINTS * 3 + make_answer(OK, LENGTH),
    "line_feeds": make_answer(OK, LENGTH).replace(b"\r\n", b"\n"),
    "odd_but_allowed_fields": make_answer(
        OK, LENGTH, b"!#$%&'*+-.^_`|~9z:\t a\x80\xff\t ", b"X-Empty:"
    ),
    **{
        str(status): make_answer(b"HTTP/1.1 %d Any" % status, LENGTH)
        for status in (200, 299, 302, 404, 418, 500, 599)
    },
}


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
            raw_endpoint.draw_answer(rng, data, (raw_endpoint.Ending.CLOSE,))
            for data in SOUND_ANSWERS.values()
        ]
        results = fetch_all(session, answers)
        assert dict(zip(SOUND_ANSWERS, results, strict=True)) == {
            name: (int(name) if name.isdigit() else 200, raw_endpoint.BODY)
            for name in SOUND_ANSWERS
        }


@pytest.mark.parametrize("part", raw_endpoint.Part)
def test_head_is_checked_again_on_a_kept_connection(part):
    rng = random.Random(51)
    sound = SOUND_ANSWERS["length"]

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
