"""Tests that hostile requests get a 4xx and the entry keeps serving."""

import asyncio
import contextlib
import json

import entry_fakes
import multidict
import pytest
from aiohttp import test_utils
from aiohttp import web
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st

from poplarwick_entry import application
from poplarwick_entry import bodies
from poplarwick_entry import request_errors
from poplarwick_entry import services
from poplarwick_outcomes import verdicts

AUTHORIZATION = b"Authorization: Bearer secret-soaps\r\n"


class Echo:
    """A plain service that records its requests."""

    def __init__(self):
        self.requests = []

    async def handle(self, request):
        self.requests.append((request.raw_path, request.headers.copy()))
        return web.Response(body=b"stock")


async def send_raw(entry, data):
    """Sends raw bytes and returns the status and the raw response."""
    host, _, port = entry.address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    with contextlib.suppress(ConnectionError):
        writer.write(data)
        await writer.drain()
    answer = b""
    with contextlib.suppress(ConnectionError):
        answer = await reader.read(65_536)
    writer.close()
    return int(answer.split()[1]), answer


def make_request(line, headers=b"", body=b""):
    return line + b"\r\nHost: x\r\n" + AUTHORIZATION + headers + b"\r\n" + body


BAD_BODIES = [
    b"",
    b"{",
    b"[]",
    b"null",
    b"\xff\xfe",
    b'{"model": 1, "prompt": "x"}',
    b'{"model": "writer"}',
    b'{"model": "writer", "prompt": 5}',
    b'{"model": "writer", "prompt": "x", "max_tokens": -1}',
    b'{"model": "writer", "prompt": "x", "max_tokens": "many"}',
    b'{"model": "writer", "prompt": "x", "stream": "yes"}',
    b'{"model": "unknown", "prompt": "x"}',
    b'{"model": "writer", "prompt": "\xc3"}',
    b"[" * 100_000,
]


@pytest.mark.parametrize("path", ["/v1/completions", "/v1/chat/completions"])
def test_invalid_bodies_are_refused(path):
    async def main():
        async with entry_fakes.open_entry(Echo().handle) as entry:
            for body in BAD_BODIES:
                status, headers, text = await entry.call(path, data=body)
                assert 400 <= status < 500, body[:50]
                assert headers["Poplarwick-Outcome"] == "not-run"
                assert json.loads(text)["error"]["message"]
            assert (await entry.call("/health/live", "GET"))[0] == 200

    entry_fakes.run(main)


@pytest.mark.parametrize(
    "path",
    [
        "/services/shop/stock/../orders",
        "/services/shop/stock/%2e%2e/orders",
        "/services/shop/stock/%252e%252e/orders",
        "/services/shop/stock%2f..%2forders",
        "/services/shop/stock//orders",
        "/services/shop/stock/%5c..",
        "/services/shop/stock/%00",
        "/services/shop/http://other.example/",
        "/services/shop/@other.example/",
        "/services/other/stock",
        "/services/",
        "/services/shop/stockroom",
    ],
)
def test_unsafe_paths_reach_no_endpoint(path):
    async def main():
        echo = Echo()
        async with entry_fakes.open_entry(echo.handle) as entry:
            line = f"GET {path} HTTP/1.1".encode()
            status, answer = await send_raw(entry, make_request(line))
            assert 400 <= status < 500, answer
            assert echo.requests == []

    entry_fakes.run(main)


@pytest.mark.parametrize(
    "line",
    [
        b"GET http://other.example/services/shop/stock HTTP/1.1",
        b"GET http://127.0.0.1:1/x HTTP/1.1",
        b"CONNECT other.example:443 HTTP/1.1",
        b"GET //other.example/services/shop/stock HTTP/1.1",
    ],
)
def test_request_target_never_selects_another_server(line):
    async def main():
        echo = Echo()
        async with entry_fakes.open_entry(echo.handle) as entry:
            status, _ = await send_raw(entry, make_request(line))
            assert 200 <= status < 500
            for path, headers in echo.requests:
                assert path == "/stock"
                assert headers["Host"] == entry.grant_client.address

    entry_fakes.run(main)


def test_hop_by_hop_and_internal_headers_are_not_forwarded():
    async def main():
        echo = Echo()
        headers = {
            "Connection": "X-Secret",
            "X-Secret": "1",
            "Keep-Alive": "5",
            "TE": "trailers",
            "Proxy-Authorization": "x",
            "Endpoint-Epoch": "99",
            "Endpoint-Stream": "stolen",
            "X-Kept": "1",
        }
        async with entry_fakes.open_entry(echo.handle) as entry:
            path = "/services/shop/stock"
            status, _, _ = await entry.call(path, "GET", headers=headers)
        assert status == 200
        _, forwarded = echo.requests[0]
        assert forwarded["X-Kept"] == "1"
        assert forwarded["Endpoint-Epoch"] == "1"
        assert forwarded["Endpoint-Stream"] != "stolen"
        for name in ("X-Secret", "Keep-Alive", "TE", "Proxy-Authorization"):
            assert name not in forwarded
        assert "Authorization" not in forwarded

    entry_fakes.run(main)


@pytest.mark.parametrize(
    "headers",
    [
        b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 3\r\nContent-Length: 4\r\n",
        b"Content-Length: -1\r\n",
        b"Transfer-Encoding: chunked, chunked\r\n",
        b"Bad Header: x\r\n",
        b"X: a\nY: b\x00\r\n",
        b"X: " + b"a" * 100_000 + b"\r\n",
        b"".join(b"X-%d: a\r\n" % n for n in range(10_000)),
    ],
)
def test_smuggled_and_oversized_headers_are_refused(headers):
    async def main():
        echo = Echo()
        async with entry_fakes.open_entry(echo.handle) as entry:
            line = b"POST /services/shop/orders HTTP/1.1"
            status, _ = await send_raw(
                entry, make_request(line, headers, b"0\r\n\r\n")
            )
            assert 400 <= status < 500
            assert echo.requests == []
            assert (await entry.call("/health/live", "GET"))[0] == 200

    entry_fakes.run(main)


def test_oversized_body_is_refused():
    async def main():
        async with entry_fakes.open_entry(Echo().handle) as entry:
            size = application.MAX_BODY_BYTES + 1
            line = b"POST /v1/completions HTTP/1.1"
            head = make_request(line, b"Content-Length: %d\r\n" % size)
            status, _ = await send_raw(entry, head + b" " * size)
            assert status == 413

    entry_fakes.run(main)


def test_body_that_stalls_times_out():
    async def main():
        async def handle(request):
            try:
                await bodies.read_body(request, idle_timeout_s=0.05)
            except request_errors.RequestEndedError as ended:
                assert ended.ending.reason is verdicts.Reason.SLOW_SENDER
                return web.Response(status=408)
            return web.Response()

        app = web.Application()
        app.router.add_post("/", handle)
        async with test_utils.TestServer(app) as server:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", server.port
            )
            writer.write(b"POST / HTTP/1.1\r\nHost: x\r\n")
            writer.write(b"Content-Length: 10\r\n\r\nabc")
            assert (await reader.readline()).split()[1] == b"408"
            writer.close()

    entry_fakes.run(main)


@given(st.text(max_size=60))
@example("/stock/..")
@example("/stock/%2E%2e/x")
@example("/stock/%c0%ae%c0%ae/x")
@example("/stock/%25%32%65%25%32%65/x")
def test_accepted_paths_have_no_dot_segments(path):
    try:
        services.check_path(path)
    except request_errors.RequestEndedError:
        return
    assert "//" not in path
    for segment in path.lower().split("/")[1:]:
        assert segment not in (".", "..", "%2e", "%2e%2e", ".%2e", "%2e.")
        assert "%2f" not in segment


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["Connection", "TE", "Upgrade", "X-A", "X-B"]),
            st.sampled_from(["x-a", "close, X-B", "X-A , x-b", "", "v"]),
        )
    )
)
def test_no_header_named_by_connection_is_forwarded(pairs):
    received = multidict.CIMultiDictProxy(multidict.CIMultiDict(pairs))
    selected = services.select_headers(received)
    named = {
        name.strip().lower()
        for value in received.getall("Connection", [])
        for name in value.split(",")
    }
    assert not named & {name.lower() for name in selected}
    assert not {"connection", "te", "upgrade"} & {n.lower() for n in selected}
