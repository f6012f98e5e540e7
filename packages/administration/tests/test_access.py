"""Tests for roles, rate limits and size limits of the administration API."""

import json
import pathlib

import aiohttp
import fake_kv
import pytest
import serving
import texts

from poplarwick_administration import _guard
from poplarwick_administration import access
from poplarwick_administration import api
from poplarwick_administration import openapi
from poplarwick_configuration import store

ROOT = pathlib.Path(__file__).resolve().parents[3]
ADMINISTRATOR = {"id": "chief", "sha256": access.digest_token("chief")}
ORGANISATIONS = [
    {"id": "soap", "keys": [], "administrators": [ADMINISTRATOR]},
    {"id": "lye", "keys": []},
]
BASE = "/v1/environments/trial"
SOAP = BASE + "/organisations/soap"


async def call(server, token, method, path, body=None):
    headers = {"Authorization": f"Bearer {token}"}
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.request(
            method, f"http://{server}{path}", data=body
        ) as response,
    ):
        return response.status, await response.json(content_type=None)


async def push(kv):
    documents = store.DocumentStore(kv, "trial")
    text = texts.make_text(organisations=ORGANISATIONS)
    outcome = await documents.push(text, author="anna", change_id="c1")
    assert outcome.is_ok()


@pytest.mark.parametrize(
    ("token", "method", "path", "status"),
    [
        ("seen", "PUT", BASE + "/document", 403),
        ("seen", "POST", BASE + "/rollbacks", 403),
        ("seen", "POST", BASE + "/promotions", 403),
        ("chief", "POST", BASE + "/promotions/preview", 403),
        ("seen", "PUT", BASE + "/out/domain/d1", 403),
        ("seen", "DELETE", BASE + "/out/domain/d1", 403),
        ("seen", "PUT", SOAP, 403),
        ("seen", "POST", SOAP + "/keys", 403),
        ("seen", "DELETE", SOAP + "/keys/k", 403),
        ("seen", "GET", SOAP, 200),
        ("seen", "GET", BASE + "/audit", 200),
        ("chief", "PUT", BASE + "/document", 403),
        ("chief", "GET", BASE + "/document", 403),
        ("chief", "GET", BASE + "/audit", 403),
        ("chief", "GET", "/v1/status", 403),
        ("chief", "PUT", BASE + "/out/domain/d1", 403),
        ("chief", "GET", BASE + "/organisations/lye", 403),
        ("chief", "PUT", BASE + "/organisations/lye", 403),
        ("chief", "POST", BASE + "/organisations/lye/keys", 403),
        ("chief", "GET", SOAP, 200),
        ("secret", "GET", "/v1/openapi.json", 200),
        ("secret", "PUT", BASE + "/out/planet/d1", 400),
        ("secret", "GET", BASE + "/document?version=x", 400),
        ("secret", "GET", BASE + "/document?version=9", 404),
        ("secret", "POST", BASE + "/rollbacks", 400),
        ("secret", "GET", "/v1/environments/UP/document", 400),
        ("secret", "GET", "/nowhere", 404),
        ("secret", "POST", "/v1/status", 405),
    ],
)
def test_role_restricts_calls(token, method, path, status):
    async def check():
        kv = fake_kv.FakeKv()
        await push(kv)
        async with serving.serve(kv) as (server, documents):
            await documents.wait_for_view()
            actual_status, body = await call(server, token, method, path, b"{}")
            assert actual_status == status, body
            assert documents.version == 1

    serving.run(check())


def test_organisation_administrator_changes_only_its_section():
    async def check():
        kv = fake_kv.FakeKv()
        await push(kv)
        async with serving.serve(kv) as (server, documents):
            await documents.wait_for_view()
            section = dict(ORGANISATIONS[0], weight=9)
            status, body = await call(
                server, "chief", "PUT", SOAP, json.dumps(section)
            )
            assert (status, body["kind"]) == (403, "forbidden")
            key = {"id": "k", "sha256": "5" * 64}
            section = dict(ORGANISATIONS[0], keys=[key])
            status, body = await call(
                server, "chief", "PUT", SOAP, json.dumps(section)
            )
            assert status == 200, body
            await documents.wait_for_version(2)
            assert documents.stored.record.author == "soap/chief"
            status, body = await call(
                server, "chief", "POST", SOAP + "/keys", b'{"id": "k2"}'
            )
            assert status == 200
            revoked = dict(ADMINISTRATOR, revoked=True)
            section = dict(ORGANISATIONS[0], administrators=[revoked])
            await call(server, "secret", "PUT", SOAP, json.dumps(section))
            await documents.wait_for_version(4)
            status, _ = await call(server, "chief", "GET", SOAP)
            assert status == 401

    serving.run(check())


def test_rate_limit_applies_to_each_caller_separately():
    async def check():
        limiter = _guard.RateLimiter(calls_per_s=0.001, burst=3)
        async with serving.serve(fake_kv.FakeKv(), limiter=limiter) as (
            server,
            _,
        ):
            statuses = [
                (await call(server, "seen", "GET", "/v1/status"))[0]
                for _ in range(5)
            ]
            assert statuses == [200, 200, 200, 429, 429]
            status, _ = await call(server, "secret", "GET", "/v1/status")
            assert status == 200
            statuses = [
                (await call(server, "wrong", "GET", "/v1/status"))[0]
                for _ in range(5)
            ]
            assert statuses == [401, 401, 401, 429, 429]

    serving.run(check())


def test_rate_limiter_refills_over_time_and_bounds_its_buckets():
    limiter = _guard.RateLimiter(calls_per_s=2, burst=2)
    assert [limiter.take("a", 0.0) for _ in range(3)] == [True, True, False]
    assert limiter.take("a", 0.5)
    assert not limiter.take("a", 0.5)
    for number in range(_guard.MAX_BUCKETS + 10):
        limiter.take(f"c{number}", 1.0)
    assert len(limiter._buckets) == _guard.MAX_BUCKETS


def test_oversized_body_is_refused():
    async def check():
        async with serving.serve(fake_kv.FakeKv()) as (server, _):
            body = b" " * (api.MAX_BODY_BYTES + 1)
            status, error = await call(
                server, "secret", "PUT", BASE + "/document", body
            )
            assert (status, error["kind"]) == (413, "too_large")
            body = b'{"version": 1' + b" " * 70_000 + b"}"
            status, error = await call(
                server, "secret", "POST", BASE + "/rollbacks", body
            )
            assert status == 400

    serving.run(check())


def test_committed_openapi_description_is_current():
    path = ROOT / "docs" / "reference" / "openapi.json"
    assert path.read_text(encoding="utf-8") == openapi.encode_description()


def test_every_operation_has_a_handler():
    async def check():
        async with serving.serve(fake_kv.FakeKv()) as (server, _):
            _, description = await call(
                server, "seen", "GET", "/v1/openapi.json"
            )
            assert len(description["paths"]) == len(
                {o.path for o in openapi.OPERATIONS}
            )

    serving.run(check())
