"""Tests that a caller gets its own complete answer or a correct outcome."""

import asyncio
import json
import time

import aiohttp
import entry_fakes
import pytest
from aiohttp import web

from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_entry import grants
from poplarwick_entry import response_memory
from poplarwick_peers.wire import grant_pb2

PATH = "/v1/completions"
EVENT_COUNT = 8


def make_event(stream, seq, text, *, is_last=False):
    fields = {
        "choices": [
            {
                "index": 0,
                "text": text,
                "finish_reason": "stop" if is_last else None,
            }
        ],
        "stream": stream,
        "seq": seq,
        "tokens": 1,
    }
    return b"data: " + json.dumps(fields).encode() + b"\n\n"


class Engine:
    """An engine whose connections follow a script.

    Each entry of `script` is the number of events that one connection sends
    before it is closed; None sends the remaining events and `[DONE]`.

    Attributes:
        runs: Streams that were started.
        resumes: Values of `after` in the resume requests.
        knows_streams: Whether streams can be resumed.
        extra_bytes: Bytes sent after each event.
        payload: Text added to each event.
        is_stuck: Whether connections stay open after the events.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.runs = []
        self.resumes = []
        self.knows_streams = True
        self.extra_bytes = b""
        self.payload = ""
        self.is_stuck = False

    async def handle(self, request):
        if request.method == "GET":
            after = int(request.query["after"])
            self.resumes.append(after)
            if not self.knows_streams:
                return web.json_response({}, status=404)
            return await self._send(request, request.path[-32:], after + 1)
        stream = request.headers["Endpoint-Stream"]
        self.runs.append(stream)
        return await self._send(request, stream, 0)

    async def _send(self, request, stream, start):
        count = self.script.pop(0) if self.script else None
        response = web.StreamResponse()
        await response.prepare(request)
        end = EVENT_COUNT if count is None else start + count
        for seq in range(start, min(end, EVENT_COUNT)):
            text = f"{len(self.runs)}.{seq}{self.payload} "
            event = make_event(
                stream, seq, text, is_last=seq == EVENT_COUNT - 1
            )
            await response.write(event + self.extra_bytes)
        if self.is_stuck:
            await asyncio.Event().wait()
        if count is not None:
            request.transport.close()
            return response
        await response.write(b"data: [DONE]\n\n")
        return response


def read_texts(body):
    events = [
        json.loads(part[len("data: ") :])
        for part in body.decode().split("\n\n")
        if part.startswith("data: {")
    ]
    return [e["choices"][0]["text"] for e in events if "choices" in e]


def make_body(*, is_streamed=True):
    fields = {"model": "writer", "prompt": "x", "stream": is_streamed}
    return json.dumps(fields).encode()


def make_texts(run):
    return [f"{run}.{seq} " for seq in range(EVENT_COUNT)]


@pytest.mark.parametrize(
    "script", [(3, None), (1, 0, 2, None), (EVENT_COUNT, None)]
)
def test_lost_connection_is_resumed_transparently(script):
    async def main():
        engine = Engine(*script)
        async with entry_fakes.open_entry(engine.handle) as entry:
            _, _, body = await entry.call(PATH, data=make_body())
        assert read_texts(body) == make_texts(1)
        assert body.endswith(b"data: [DONE]\n\n")
        assert len(engine.runs) == 1
        assert len(engine.resumes) == len(script) - 1

    entry_fakes.run(main)


def test_events_of_another_stream_never_reach_a_caller():
    async def main():
        engine = Engine(2, None)
        engine.extra_bytes = make_event("another", 0, "crossed", is_last=True)
        async with entry_fakes.open_entry(engine.handle) as entry:
            _, _, body = await entry.call(PATH, data=make_body())
        assert read_texts(body) == make_texts(1)
        assert b"crossed" not in body

    entry_fakes.run(main)


def test_lost_stream_is_retried_before_text_reaches_the_caller():
    async def main():
        engine = Engine(0, None)
        engine.knows_streams = False
        async with entry_fakes.open_entry(engine.handle) as entry:
            _, _, body = await entry.call(PATH, data=make_body())
        assert read_texts(body) == make_texts(2)
        assert len(engine.runs) == 2

    entry_fakes.run(main)


def test_lost_stream_is_not_retried_after_text_reaches_the_caller():
    async def main():
        engine = Engine(3, None)
        engine.knows_streams = False
        async with entry_fakes.open_entry(engine.handle) as entry:
            _, _, body = await entry.call(PATH, data=make_body())
        assert read_texts(body) == make_texts(1)[:3]
        assert b"[DONE]" not in body
        last = json.loads(body.split(b"data: ")[-1])
        assert last["error"]["outcome"] == "failed"
        assert last["error"]["repeatable"]
        assert len(engine.runs) == 1

    entry_fakes.run(main)


# Guards against streams that end without a line in the log.
def test_stream_that_breaks_is_logged(lines):
    async def main():
        engine = Engine(3, None)
        engine.knows_streams = False
        async with entry_fakes.open_entry(engine.handle) as entry:
            _, headers, _ = await entry.call(PATH, data=make_body())
            return headers["Poplarwick-Request"]

    request = entry_fakes.run(main)
    (line,) = [line for line in lines if "event=request_ended" in line]
    assert f"request={request} " in line
    assert "outcome=failed" in line


def test_stream_whose_caller_disconnects_is_logged(lines):
    async def main():
        engine = Engine(EVENT_COUNT - 1)
        engine.is_stuck = True
        async with entry_fakes.open_entry(engine.handle) as entry:
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    f"http://{entry.address}{PATH}",
                    data=make_body(),
                    headers={"Authorization": "Bearer secret-soaps"},
                ) as response,
            ):
                request = response.headers["Poplarwick-Request"]
                await response.content.readany()
                response.close()
            async with asyncio.timeout(20):
                await entry.grant_client.reporter.has_cancelled.wait()
        return request

    request = entry_fakes.run(main)
    (line,) = [line for line in lines if "event=request_ended" in line]
    assert f"request={request} " in line
    assert "code=caller_left" in line


def test_buffered_answer_contains_only_one_run():
    async def main():
        engine = Engine(3, None)
        engine.knows_streams = False
        async with entry_fakes.open_entry(engine.handle) as entry:
            _, headers, body = await entry.call(
                PATH, data=make_body(is_streamed=False)
            )
        assert headers["Poplarwick-Outcome"] == "complete"
        text = json.loads(body)["choices"][0]["text"]
        assert text == "".join(make_texts(2))

    entry_fakes.run(main)


def test_buffered_answer_without_end_is_given_up(monkeypatch):
    max_bytes = 4 << 20
    monkeypatch.setattr(response_memory, "MAX_COUNTED_BYTES", max_bytes)
    payload = "x" * 500_000
    sent_events = []

    async def send_events(request):
        response = web.StreamResponse()
        await response.prepare(request)
        sent_events.append(0)
        while len(payload) * sent_events[-1] < 8 * max_bytes:
            stream = request.headers["Endpoint-Stream"]
            await response.write(make_event(stream, sent_events[-1], payload))
            sent_events[-1] += 1
        return response

    async def main():
        async with entry_fakes.open_entry(send_events) as entry:
            return await entry.call(PATH, data=make_body(is_streamed=False))

    status, headers, _ = entry_fakes.run(main)
    assert (status, headers["Poplarwick-Outcome"]) == (502, "failed")
    assert len(payload) * max(sent_events) < 8 * max_bytes


def test_stream_is_cancelled_when_its_caller_disconnects():
    async def main():
        engine = Engine()
        engine.payload = "x" * 1_000_000
        async with entry_fakes.open_entry(engine.handle) as entry:
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    f"http://{entry.address}{PATH}",
                    data=make_body(),
                    headers={"Authorization": "Bearer secret-soaps"},
                ) as response,
            ):
                await response.content.readany()
                response.close()
            reporter = entry.grant_client.reporter
            async with asyncio.timeout(20):
                await reporter.has_cancelled.wait()
        assert reporter.cancelled == engine.runs
        assert engine.resumes == []

    entry_fakes.run(main)


def test_caller_that_does_not_read_is_disconnected_after_its_deadline():
    async def main():
        engine = Engine()
        engine.payload = "x" * 900_000
        timeout_s = 1.0
        async with entry_fakes.open_entry(engine.handle) as entry:
            host, _, port = entry.address.partition(":")
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1_024
            )
            body = make_body()
            start_s = time.monotonic()
            writer.write(
                b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: Bearer secret-soaps\r\n"
                b"Poplarwick-Timeout: %g\r\nContent-Length: %d\r\n\r\n%s"
                % (timeout_s, len(body), body)
            )
            reporter = entry.grant_client.reporter
            async with asyncio.timeout(20):
                await reporter.has_cancelled.wait()
            assert time.monotonic() - start_s >= timeout_s
            async with asyncio.timeout(20):
                with pytest.raises((ConnectionError, EOFError)):
                    while True:
                        if not await reader.read(65_536):
                            raise EOFError
            assert writer.is_closing() or reader.at_eof()
            writer.close()

    entry_fakes.run(main)


def test_engine_gets_the_priority_from_the_grant():
    grant = grant_pb2.Grant(grant_id="g", stream_id="s", priority=7)
    held = grants.HeldGrant(
        grant, ids.InstanceId("i"), entry_fakes.FakeReporter()
    )
    sent = held.target.make_headers(clock.make_deadline(1.0))
    assert sent["Endpoint-Priority"] == "7"
