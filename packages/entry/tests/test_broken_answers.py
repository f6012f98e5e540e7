"""Answers of plain services in trouble, in the product's own mode."""

from __future__ import annotations

import asyncio
import random
import resource

import entry_fakes
import pytest
from aiohttp import web

from poplarwick_standins import raw_endpoint

STOCK = "/services/shop/stock"
SEEDS = 10

CALLS_AT_ONCE = 20
MAX_GROWTH_KB = 2 * (128 + CALLS_AT_ONCE) * 1_024
"""Memory for what is counted and the ordinary part of each answer, twice, as a
buffer that grows may be copied."""


async def call_with_answers(answers, path, method, **options):
    """Returns the ends of one call for each answer of the endpoint."""
    ends = []
    async with (
        entry_fakes.open_entry(lambda request: web.Response()) as entry,
        raw_endpoint.RawEndpoint() as endpoint,
    ):
        entry.grant_client.address = endpoint.address
        for answer in answers:
            endpoint.answer = answer
            ends.append(
                await entry.call(
                    path, method, key=entry_fakes.make_key(), **options
                )
            )
    return ends


@pytest.mark.parametrize("part", raw_endpoint.Part)
def test_improper_head_is_a_failure_of_the_service(part):
    rng = random.Random(51)
    heads = raw_endpoint.make_broken_heads(rng, part)
    answers = [
        raw_endpoint.draw_answer(rng, head + raw_endpoint.BODY)
        for head in heads
    ]

    async def main():
        return await call_with_answers(answers, STOCK, "GET")

    ends = entry_fakes.run(main)
    taken = [
        (head, status, body)
        for head, (status, _, body) in zip(heads, ends, strict=True)
        if status != 502 or raw_endpoint.BODY in body
    ]
    assert taken == []


@pytest.mark.parametrize("reads_body", [True, False])
def test_part_of_an_answer_behind_an_upload_is_not_complete(reads_body):
    answers = [
        raw_endpoint.draw_reset_answer(
            random.Random(seed), reads_body=reads_body
        )
        for seed in range(SEEDS)
    ]

    async def main():
        return await call_with_answers(
            answers, entry_fakes.ORDERS, "POST", data=raw_endpoint.UPLOAD
        )

    ends = entry_fakes.run(main)
    assert [status for status, _, _ in ends] == [502] * SEEDS


def test_answers_without_end_at_the_same_time_do_not_take_all_memory():
    answer = raw_endpoint.Answer(
        (raw_endpoint.make_head(raw_endpoint.OK, ()),), endless=b"x" * 65_536
    )

    async def main():
        async with (
            entry_fakes.open_entry(lambda request: web.Response()) as entry,
            raw_endpoint.RawEndpoint(answer) as endpoint,
        ):
            entry.grant_client.address = endpoint.address
            ends = await asyncio.gather(
                *(
                    entry.call(key=entry_fakes.make_key(), data=b"one")
                    for _ in range(CALLS_AT_ONCE)
                )
            )
            return [status for status, _, _ in ends]

    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    statuses = entry_fakes.run(main)
    grown_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
    assert statuses == [502] * CALLS_AT_ONCE
    assert grown_kb < MAX_GROWTH_KB
