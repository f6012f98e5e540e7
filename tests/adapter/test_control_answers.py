"""Broken answers to calls of an instance's own, to engines and to stores."""

from __future__ import annotations

import asyncio
import random
import types

import aiohttp
import pytest

from poplarwick_adapter import engine_client
from poplarwick_adapter import store
from poplarwick_administration import client as administration_client
from poplarwick_coordination import reports
from poplarwick_endpoints import engine
from poplarwick_endpoints import errors
from poplarwick_endpoints import session
from poplarwick_forwarding import dialect as forwarding_dialect
from poplarwick_platform import gateway
from poplarwick_platform import instances
from poplarwick_platform import kv
from poplarwick_platform import weights
from poplarwick_standins import raw_endpoint

TIMEOUT_S = 60
MAX_READ_BYTES = 64 << 20
"""What a single answer may take of an instance's memory, with the buffers of
the kernel."""

DIRECT = types.SimpleNamespace(make_connector=aiohttp.TCPConnector)
"""Connects to engines directly."""


def ignore_notice(address, notice):
    pass


async def read_report(address):
    async with engine_client.ReportReader(DIRECT, ignore_notice) as reader:
        return await reader.read_report(address)


async def reserve(address):
    async with engine_client.PlatformEngineClient(
        DIRECT, ignore_notice
    ) as client:
        return await client.reserve(address, "t", 1, 1.0)


async def read_store(address):
    async with store.StoreClient(address) as client:
        return await client.read("k", kv.Purpose.CONFIGURATION)


async def read_key_value_service(address):
    async with gateway.connect((address,)) as client:
        return await client.read("k", kv.Purpose.CONFIGURATION)


async def read_instances(address):
    async with instances.InstanceListClient(address) as client:
        return await client.read()


async def read_weights(address):
    async with weights.WeightStoreClient(address) as client:
        return await client.read_limits()


async def cancel_stream(address):
    async with session.make_session() as open_session:
        client = engine.EngineClient(open_session, address)
        return await client.cancel("stream", 1)


async def read_status(address):
    async with administration_client.AdministrationClient(
        address, None
    ) as client:
        return await client.read_status()


ANSWERS = {
    read_report: b'{"pace": 1.0}',
    reserve: b"{}",
    read_store: b'{"key": "k", "revision": 1, "current_rev": 1}',
    read_key_value_service: b'{"header": {"revision": "1"}}',
    read_instances: b"[]",
    read_weights: b'{"bytes_per_s": 1.0, "max_downloads": 1}',
    cancel_stream: b'{"state": "cancelled"}',
    read_status: b'{"instance": "i", "environment": "e", "version": 1}',
}
"""Body of a sound answer to each call."""

ERRORS = (
    administration_client.ClientError,
    errors.EndpointUnreachableError,
    forwarding_dialect.ReservationError,
    instances.InstanceListError,
    kv.KvError,
    reports.ReportError,
    weights.WeightStoreError,
)
"""What the calls raise if there is no usable answer."""


def call_all(call, answers):
    """Returns the result of a call for each answer, or its error."""

    async def call_endpoint(answer):
        async with (
            asyncio.timeout(TIMEOUT_S),
            raw_endpoint.RawEndpoint(answer) as endpoint,
        ):
            try:
                return await call(endpoint.address)
            except ERRORS as error:
                return error

    async def run():
        return await asyncio.gather(*map(call_endpoint, answers))

    return asyncio.run(run())


def make_answer(call, status_line=raw_endpoint.OK):
    length = b"Content-Length: %d" % len(ANSWERS[call])
    return raw_endpoint.make_head(status_line, [length]) + ANSWERS[call]


@pytest.mark.parametrize("call", ANSWERS)
def test_sound_answer_is_taken(call, monkeypatch):
    # A busy machine decides nothing.
    monkeypatch.setattr(engine_client, "COMMAND_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr(gateway, "CONNECT_TIMEOUT_S", TIMEOUT_S)
    (result,) = call_all(call, [raw_endpoint.Answer((make_answer(call),))])
    assert not isinstance(result, ERRORS)


# Guards against what an engine or a store in trouble sends, and what is taken
# for its word.
@pytest.mark.parametrize("part", raw_endpoint.Part)
@pytest.mark.parametrize("call", ANSWERS)
def test_answer_with_an_improper_head_is_not_taken(call, part):
    rng = random.Random(51)
    heads = raw_endpoint.make_broken_heads(rng, part)
    answers = [
        raw_endpoint.draw_answer(
            rng, head + ANSWERS[call], (raw_endpoint.Ending.CLOSE,)
        )
        for head in heads
    ]
    results = call_all(call, answers)
    taken = [
        (head, result)
        for head, result in zip(heads, results, strict=True)
        if not isinstance(result, ERRORS)
    ]
    assert taken == []


# Guards against a report that an engine has not sent.
@pytest.mark.parametrize("status", [201, 404, 500, 503])
def test_report_with_another_status_is_not_taken(status):
    answer = make_answer(read_report, b"HTTP/1.1 %d Any" % status)
    (result,) = call_all(read_report, [raw_endpoint.Answer((answer,))])
    assert isinstance(result, reports.ReportError)


# Guards against memory that one answer takes until the instance is killed.
@pytest.mark.parametrize("call", ANSWERS)
def test_answer_without_end_is_given_up(call):
    async def run():
        answer = raw_endpoint.Answer(
            (raw_endpoint.make_head(raw_endpoint.OK, ()), b'"'),
            endless=b"x" * 65_536,
        )
        async with (
            asyncio.timeout(TIMEOUT_S),
            raw_endpoint.RawEndpoint(answer) as endpoint,
        ):
            with pytest.raises(ERRORS):
                await call(endpoint.address)
            return endpoint.endless_bytes

    assert asyncio.run(run()) < MAX_READ_BYTES
