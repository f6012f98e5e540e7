"""Whole requests through an instance, with faults of the replicas."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
import world as worlds

from poplarwick_forwarding import frontend
from poplarwick_standins import platform_replica

Fault = platform_replica.Fault
WHOLE = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 6))


def play(tmp_path, scenario, **options):
    async def run():
        async with worlds.running(tmp_path, **options) as world:
            await scenario(world)

    asyncio.run(run())


def share_plan(world, *faults):
    plan = list(faults)
    for replica in world.replicas:
        replica.plan = plan


def test_a_stream_arrives_whole_with_the_signature(tmp_path):
    async def scenario(world):
        async with world.call(
            "/label/x?q=1", tokens=5_000, data=b"prompt"
        ) as a:
            assert a.status == 200
            assert a.headers["Response-Stamp"].startswith("s-i-")
            assert await a.read() == WHOLE
        (run,) = [run for r in world.replicas for run in r.runs]
        assert run.target == "/label/x?q=1"
        assert run.body == b"prompt"
        assert run.headers["Tenant"] == "one"
        assert "X-Api-Key" not in run.headers
        assert 4_000 < int(run.headers["Deadline-Ms"]) <= 5_000
        assert run.headers["Host"] == worlds.HOST

    play(tmp_path, scenario)


def test_headers_of_one_connection_and_forged_ones_are_not_passed_on(tmp_path):
    async def scenario(world):
        headers = {
            "Connection": "close, X-Hop",
            "X-Hop": "1",
            "X-Other": "2",
            "Tenant": "forged",
            "Expect-Instance": "forged",
            "Helpers": "forged",
        }
        async with world.call("/stock/", headers=headers) as answer:
            assert answer.status == 200
        sent = world.replicas[-1].runs[0].headers
        assert "X-Hop" not in sent
        assert sent["X-Other"] == "2"
        assert sent["Tenant"] == "one"
        assert "Helpers" not in sent

    play(tmp_path, scenario)


@pytest.mark.parametrize(
    ("path", "changes", "status"),
    [
        ("/nowhere/", {}, 404),
        ("/label", {}, 404),
        ("/label/", {"X-Api-Key": "unknown"}, 401),
        ("/label/", {"X-Api-Key": None}, 401),
        ("/label/", {"Deadline-Ms": "soon"}, 400),
        ("/label/", {"Token-Counts": "many,1"}, 400),
    ],
)
def test_what_the_configuration_does_not_allow_is_refused(
    tmp_path, path, changes, status
):
    async def scenario(world):
        async with world.call(path, headers=changes) as answer:
            assert answer.status == status
        assert not any(replica.runs for replica in world.replicas)

    play(tmp_path, scenario)


def test_a_body_over_the_limit_is_refused_with_and_without_a_length(tmp_path):
    async def chunks():
        for _ in range(20):
            yield b"x" * 10_000

    async def scenario(world):
        for body in (b"x" * 200_000, chunks()):
            async with world.call("/stock/", data=body) as answer:
                assert answer.status == 413

    play(tmp_path, scenario)


def test_a_body_in_chunks_reaches_the_replica_unchanged(tmp_path):
    async def chunks():
        yield b"one "
        yield b"two"

    async def scenario(world):
        async with world.call("/order/", data=chunks()) as answer:
            assert answer.status == 200
        assert world.replicas[-1].runs[0].body == b"one two"

    play(tmp_path, scenario)


@pytest.mark.parametrize(
    "fault",
    [Fault.CUT_INSIDE_EVENT, Fault.CUT_BEFORE_END, Fault.SKIP_EVENT],
)
def test_a_broken_stream_goes_on_at_another_replica(tmp_path, fault):
    async def scenario(world):
        share_plan(world, fault)
        async with world.call("/label/", tokens=5_000) as answer:
            signature = answer.headers["Response-Stamp"]
            assert await answer.read() == WHOLE
        runs = [run for r in world.replicas for run in r.runs]
        (broken,) = [run for run in runs if run.fault is fault]
        (second,) = [run for run in runs if run is not broken]
        assert broken.request == second.request
        assert int(second.headers["Last-Event-Id"]) in (2, 3)
        first = next(r for r in world.replicas if broken in r.runs)
        assert signature == f"s-{first.name}"

    play(tmp_path, scenario)


def test_a_stream_that_stalls_goes_on_at_another_replica(tmp_path):
    async def scenario(world):
        share_plan(world, Fault.STALL)
        async with world.call("/label/", tokens=5_000) as answer:
            assert await answer.read() == WHOLE

    play(tmp_path, scenario)


def test_a_stream_that_cannot_go_on_does_not_look_complete(tmp_path):
    async def scenario(world):
        for replica in world.replicas[:2]:
            replica.fault = Fault.CUT_INSIDE_EVENT
        async with world.call("/label/", tokens=5_000) as answer:
            with pytest.raises(aiohttp.ClientPayloadError):
                await answer.read()

    play(tmp_path, scenario)


def test_a_full_replica_is_left_for_another_one(tmp_path):
    async def scenario(world):
        world.replicas[0].fault = Fault.FULL
        for _ in range(4):
            async with world.call("/label/", tokens=5_000) as answer:
                assert await answer.read() == WHOLE

    play(tmp_path, scenario)


@pytest.mark.parametrize(
    "fault",
    [
        Fault.OTHER_REQUEST,
        Fault.UNSIGNED,
        Fault.ENCODED,
        Fault.BARE_503,
        Fault.RESET_WITHOUT_LENGTH,
    ],
)
def test_an_order_without_a_usable_answer_runs_once_and_is_not_refused(
    tmp_path, fault
):
    async def scenario(world):
        world.replicas[-1].fault = fault
        async with world.call("/order/") as answer:
            assert answer.status == 502
            assert "Response-Stamp" not in answer.headers
        assert len(world.replicas[-1].runs) == 1

    play(tmp_path, scenario, orders=1)


def test_an_order_that_hangs_ends_at_its_deadline_and_ran_once(tmp_path):
    async def scenario(world):
        world.replicas[-1].fault = Fault.SILENT
        headers = {"Deadline-Ms": "600"}
        async with world.call("/order/", headers=headers) as answer:
            assert answer.status == 504
        assert len(world.replicas[-1].runs) == 1

    play(tmp_path, scenario)


def test_a_lookup_that_hangs_is_answered_by_another_replica(tmp_path):
    async def scenario(world):
        slow = world.replicas[-1]
        slow.fault = Fault.SILENT
        for _ in range(3):
            async with world.call("/stock/") as answer:
                assert answer.status == 200

    play(tmp_path, scenario, orders=2)


def test_a_failure_of_the_replica_is_passed_on_with_its_signature(tmp_path):
    async def scenario(world):
        world.replicas[-1].fault = Fault.ERROR
        async with world.call("/order/") as answer:
            assert answer.status == 500
            assert answer.headers["Response-Stamp"]
            assert await answer.read() == b"error"

    play(tmp_path, scenario)


def test_a_service_without_endpoints_is_refused_at_once(tmp_path):
    async def scenario(world):
        await world.store.remove(f"servers/{world.replicas[-1].name}")
        await worlds.eventually(
            lambda: "i-2" not in world.instances[0].part.catalogue.endpoints
        )
        began_s = asyncio.get_running_loop().time()
        async with world.call("/order/") as answer:
            assert answer.status == 503
            assert 0 < float(answer.headers["Retry-After"]) <= 5 / 3
        assert asyncio.get_running_loop().time() - began_s < 2
        assert not world.replicas[-1].runs

    play(tmp_path, scenario)


def test_work_stops_soon_after_the_caller_has_left(tmp_path):
    async def scenario(world):
        for replica in world.replicas[:2]:
            replica.events = 10_000
        call = world.call("/label/", tokens=5_000)
        async with call as answer:
            await answer.content.readany()
            answer.close()
        runs = [run for r in world.replicas for run in r.runs]
        await worlds.eventually(lambda: runs[0].ended == "cancelled", 2)

    play(tmp_path, scenario)


def test_a_prompt_over_one_engines_memory_holds_tickets_and_returns_them(
    tmp_path,
):
    async def scenario(world):
        async with world.call("/label/", tokens=600_000) as answer:
            assert await answer.read() == WHOLE
        (run,) = [run for r in world.replicas for run in r.runs]
        assert "/" in run.headers["Helpers"]
        await worlds.eventually(
            lambda: not any(r.tickets for r in world.replicas), 2
        )

    play(tmp_path, scenario, pool=4)


def test_a_reused_address_gets_no_request_of_its_former_owner(tmp_path):
    async def scenario(world):
        replica = world.replicas[-1]
        replica.name = "i-other"
        async with world.call("/order/") as answer:
            assert answer.status == 503
        assert not replica.runs

    play(tmp_path, scenario)


def test_pipelined_requests_are_answered_in_order_or_not_at_all(tmp_path):
    async def scenario(world):
        host, port = world.instances[0].front.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for name in ("p1", "p2"):
            writer.write(
                (
                    f"GET /stock/ HTTP/1.1\r\nHost: {worlds.HOST}\r\n"
                    f"Request-Id: {name}\r\nX-Api-Key: {worlds.KEY}\r\n\r\n"
                ).encode()
            )
        data = b""
        async with asyncio.timeout(worlds.GENEROUS_S):
            while data.count(b"answer of") < 2:
                data += await reader.read(65_536)
        assert data.index(b"p1") < data.index(b"p2")
        writer.close()

    play(tmp_path, scenario)


@pytest.mark.parametrize(
    "framing",
    [
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Transfer-Encoding: xchunked\r\n",
    ],
)
def test_a_body_with_two_framings_is_refused(tmp_path, framing):
    async def scenario(world):
        host, port = world.instances[0].front.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            (
                f"POST /order/ HTTP/1.1\r\nHost: {worlds.HOST}\r\n"
                f"Request-Id: s1\r\nX-Api-Key: {worlds.KEY}\r\n{framing}\r\n"
                "0\r\n\r\nPOST /order/ HTTP/1.1\r\n\r\n"
            ).encode()
        )
        async with asyncio.timeout(worlds.GENEROUS_S):
            assert b" 400 " in await reader.readline()
        assert not world.replicas[-1].runs
        writer.close()

    play(tmp_path, scenario)


def test_a_connection_lost_while_an_event_is_written_is_no_error(
    tmp_path, monkeypatch, caplog
):
    async def lose(sink, data):
        raise ConnectionResetError("the caller has gone")

    monkeypatch.setattr(frontend._ResponseSink, "write", lose)

    async def scenario(world):
        with pytest.raises(aiohttp.ClientError):
            async with world.call("/label/", tokens=5_000) as answer:
                await answer.read()
        await worlds.eventually(
            lambda: world.instances[0].part.front.in_progress == 0
        )

    play(tmp_path, scenario)
    assert not [r for r in caplog.records if r.levelname == "ERROR"]


def test_a_body_that_does_not_arrive_is_answered_when_its_time_is_over(
    tmp_path,
):
    async def scenario(world):
        host, port = world.instances[0].front.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /stock/ HTTP/1.1\r\nHost: {worlds.HOST}\r\n"
            f"Request-Id: r1\r\nDeadline-Ms: 200\r\nX-Api-Key: {worlds.KEY}\r\n"
            "Content-Length: 100\r\n\r\nhalf".encode()
        )
        async with asyncio.timeout(worlds.GENEROUS_S):
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.read()
        assert head.startswith(b"HTTP/1.1 408 ")
        assert world.instances[0].part.front.in_progress == 0
        assert not any(r.runs for r in world.replicas)
        writer.close()

    play(tmp_path, scenario)
