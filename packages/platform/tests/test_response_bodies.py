"""Bodies of responses that end with their connection, or do not end."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import aiohttp
import pytest

from poplarwick_platform import http_session
from poplarwick_standins import raw_endpoint

SEEDS = range(20)
TIMEOUT_S = 20
MAX_BYTES = 1_000


async def fetch(answer, upload):
    async with (
        raw_endpoint.RawEndpoint(answer) as endpoint,
        http_session.make_unshared_session() as session,
        asyncio.timeout(TIMEOUT_S),
        session.post(f"http://{endpoint.address}", data=upload) as response,
    ):
        return await http_session.read_body(response, MAX_BYTES)


def fetch_all(answers, upload):
    async def run():
        return await asyncio.gather(
            *(fetch(answer, upload) for answer in answers),
            return_exceptions=True,
        )

    return asyncio.run(run())


@pytest.mark.parametrize("upload", [b"", raw_endpoint.UPLOAD], ids=len)
@pytest.mark.parametrize("reads_body", [True, False])
def test_body_without_a_length_is_not_complete_after_a_reset(
    upload, reads_body
):
    answers = [
        raw_endpoint.draw_reset_answer(
            random.Random(seed), reads_body=reads_body
        )
        for seed in SEEDS
    ]
    results = fetch_all(answers, upload)
    assert [r for r in results if not isinstance(r, aiohttp.ClientError)] == []


def test_body_without_a_length_is_complete_after_an_orderly_end():
    answers = [
        dataclasses.replace(
            raw_endpoint.draw_reset_answer(
                random.Random(seed), reads_body=True
            ),
            ending=raw_endpoint.Ending.CLOSE,
        )
        for seed in SEEDS
    ]
    bodies = fetch_all(answers, raw_endpoint.UPLOAD)
    assert bodies == [b"a part and another"] * len(SEEDS)


@pytest.mark.parametrize(
    "body",
    [b"5\r\nhello\n0\r\n\r\n", b"5 \r\nhello\r\n0\r\n\r\n"],
    ids=["line feed alone", "blank behind the size"],
)
def test_body_of_broken_chunks_is_not_complete(body):
    head = raw_endpoint.make_head(
        raw_endpoint.OK, [b"Transfer-Encoding: chunked"]
    )
    answers = [
        raw_endpoint.draw_answer(random.Random(seed), head + body)
        for seed in SEEDS
    ]
    results = fetch_all(answers, b"")
    assert [r for r in results if not isinstance(r, aiohttp.ClientError)] == []


CHUNK_BYTES = 20_000
CHUNKS = 60
PAUSE_S = 0.002


@pytest.mark.parametrize("is_chunked", [False, True])
def test_body_that_is_read_slowly_is_complete(is_chunked):
    part = b"x" * CHUNK_BYTES
    framed = b"%x\r\n%b\r\n" % (CHUNK_BYTES, part)
    head = raw_endpoint.make_head(
        raw_endpoint.OK,
        [b"Transfer-Encoding: chunked"] if is_chunked else (),
    )
    body = framed * CHUNKS + b"0\r\n\r\n" if is_chunked else part * CHUNKS

    async def run():
        async with (
            raw_endpoint.RawEndpoint(
                raw_endpoint.Answer((head + body,))
            ) as endpoint,
            http_session.make_unshared_session(read_bufsize=8_192) as session,
            asyncio.timeout(TIMEOUT_S),
            session.get(f"http://{endpoint.address}") as response,
        ):
            received = 0
            while data := await response.content.readany():
                received += len(data)
                await asyncio.sleep(PAUSE_S)
            return received

    assert asyncio.run(run()) == CHUNKS * CHUNK_BYTES
