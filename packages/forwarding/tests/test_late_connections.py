"""Connections to endpoints that are made while the process stands still."""

from __future__ import annotations

import asyncio
import socket
import time
import types

import pytest

from poplarwick_adapter import dialect
from poplarwick_forwarding import upstream
from poplarwick_placement import messages
from poplarwick_reach import connector

HOST = "127.0.0.1"


def make_reach(failed):
    reach = types.SimpleNamespace(is_cut_off=False, record_failed=failed.append)
    reach.make_connector = lambda **options: connector.ReachConnector(
        reach, HOST, **options
    )
    return reach


# Guards against endpoints that are blamed, and requests that are taken for the
# cause of their crash, as the own process stood still.
def test_connection_that_the_own_delay_ends_is_not_blamed_on_its_endpoint():
    failed = []

    async def run():
        with socket.create_server((HOST, 0)) as listening:
            address = "{}:{}".format(*listening.getsockname())
            loop = asyncio.get_running_loop()
            async with upstream.Upstream(
                dialect.PlatformDialect(), make_reach(failed), 65_536
            ) as client:
                loop.call_soon(
                    loop.call_soon, time.sleep, 2 * upstream.CONNECT_TIMEOUT_S
                )
                request = upstream.Request("GET", "/", {}, b"")
                async with client.send(address, request):
                    pass

    with pytest.raises(upstream.SendError) as caught:
        asyncio.run(run())
    assert caught.value.result is messages.Result.GIVEN_UP
    assert not caught.value.may_have_run
    assert failed == []
