"""Requests whose body ends late in the grace period of their instance."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

import crashing_fleet
import network_cuts
import platform_cluster
import pytest

GRACE_S = 8.0
OFFSETS_S = (0.3, 1.5, 2.4, 2.7, 3.5, 4.5, 5.5, 6.5, 7.1)
"""Times after SIGTERM at which bodies end."""

INSTANCES = 3
_NUMBERS = itertools.count(1)


class LateRequest:
    """A request on a connection of its own whose body ends when told."""

    def __init__(self, path, tokens):
        self.path = path
        self.tokens = tokens
        self.id = f"late-{next(_NUMBERS)}"

    async def open(self, instance):
        """Sends the head and the first part of the body."""
        host, port = instance.caller_address.split(":")
        self._reader, self._writer = await asyncio.open_connection(host, port)
        tokens = (
            ""
            if self.tokens is None
            else (f"Model: m\r\nToken-Counts: {self.tokens},170\r\n")
        )
        self._writer.write(
            f"POST {self.path} HTTP/1.1\r\nHost: {platform_cluster.HOST}\r\n"
            f"Request-Id: {self.id}\r\nX-Api-Key: {platform_cluster.KEY}\r\n"
            f"Deadline-Ms: 15000\r\n{tokens}"
            "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n".encode()
        )
        await self._writer.drain()

    async def end(self, delay_s):
        """Sends the rest and returns the status, and whether it is answered."""
        await asyncio.sleep(delay_s)
        self._writer.write(b"4\r\nhalf\r\n0\r\n\r\n")
        try:
            async with asyncio.timeout(platform_cluster.TIMEOUT_S):
                answer = await self._reader.read()
        except ConnectionError as error:
            return repr(error), False
        finally:
            self._writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        if not head:
            return None, False
        status = int(head.split(b" ")[1])
        if b"chunked" in head.lower():
            return status, body.endswith(b"0\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2]
        return status, len(body) == int(length.split(b"\r\n")[0])


@contextlib.asynccontextmanager
async def _run_situation(tmp_path, situation):
    async with (
        network_cuts.NetworkCuts().install() as cuts,
        platform_cluster.run_cluster(
            tmp_path,
            pool=6,
            orders=3,
            instances=INSTANCES,
            grace_s=GRACE_S,
            free_ms=20_000,
        ) as cluster,
    ):
        cuts.shape = network_cuts.Shape.REFUSED
        await crashing_fleet.wait_for_placer(cluster)
        placer = next(i for i in cluster.instances if i.node.is_placer)
        others = [i for i in cluster.instances if i is not placer]
        match situation:
            case "calm" | "store_away" | "placer_leaves_too":
                stopped = others[0]
            case "placer":
                stopped = placer
            case "relayed":
                stopped = others[0]
                await network_cuts.cut_off(cluster, cuts, stopped)
        yield cluster, stopped, placer


# Guards against requests that are taken late in the grace period, passed on and
# cut at its end (LOST).
@pytest.mark.parametrize(
    "situation",
    ["calm", "placer", "placer_leaves_too", "store_away", "relayed"],
)
def test_request_whose_body_ends_late_in_a_stop_is_answered(
    tmp_path, situation
):
    async def scenario():
        async with _run_situation(tmp_path, situation) as (
            cluster,
            stopped,
            placer,
        ):
            # A stream takes about 3 s beside others.
            for replica in cluster.replicas:
                replica.event_interval_s, replica.event_count = 0.1, 20
            requests = [
                (LateRequest(path, tokens), offset_s)
                for offset_s in OFFSETS_S
                for path, tokens in (
                    ("/order/", None),
                    ("/stock/", None),
                    ("/label/", 5_000),
                    ("/label/", 500_000),
                )
            ]
            await asyncio.gather(*(r.open(stopped) for r, _ in requests))
            await asyncio.sleep(0.2)
            if situation == "store_away":
                cluster.store.is_unresponsive = True
            if situation == "placer_leaves_too":
                placer.stop.set()
            stopped.stop.set()
            ends = await asyncio.gather(*(r.end(o) for r, o in requests))
            unanswered = [
                (request.path, request.tokens, offset_s, status)
                for (request, offset_s), (status, is_whole) in zip(
                    requests, ends, strict=True
                )
                if not is_whole
            ]
            assert unanswered == []
            runs = [e for r in cluster.replicas for e in r.executions]
            ran = {e.request_id for e in runs}
            refused = {
                request.id
                for (request, _), (status, _) in zip(
                    requests, ends, strict=True
                )
                if status in (408, 421, 429, 503)
            }
            assert ran & refused == set()

    asyncio.run(scenario())
