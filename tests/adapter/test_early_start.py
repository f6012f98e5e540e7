"""Callers that arrive while an instance loads its modules."""

from __future__ import annotations

import asyncio
import json
import socket

import platform_cluster
import pytest

from poplarwick_adapter import early_start
from poplarwick_core import early_listeners
from poplarwick_standins import platform_documents

ADDRESS = "127.0.0.1:0"


def write_settings(folder, *, contracts=(), cores=1.0, front=None):
    document = {
        "contracts": list(contracts),
        "limits": {"cpu_share": cores, "cores": 1},
        "listen": {"front": front or ADDRESS},
    }
    path = folder / "settings.json"
    path.write_text(json.dumps(document))
    return str(path)


@pytest.mark.parametrize(
    ("changes", "is_open"),
    [
        ({}, False),
        ({"contracts": ["base", "pressure"]}, True),
        ({"cores": 0.361}, True),
        ({"cores": 0.516}, False),
    ],
)
def test_only_deployments_that_call_for_it_listen_early(
    tmp_path, changes, is_open
):
    # Guards against other deployments being served in another way than before.
    path = write_settings(tmp_path, **changes)
    assert early_start.open_caller_listener(path) is is_open
    opened = early_listeners.take(ADDRESS)
    assert (opened is not None) is is_open
    if opened is not None:
        opened.close()


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"[]",
        b"{}",
        b'{"contracts": 1}',
        b'{"contracts": ["pressure"], "listen": {"front": "no-port"}}',
        b'{"contracts": ["pressure"], "listen": {"front": "127.0.0.1:99999"}}',
        b'{"limits": {"cpu_share": "x", "cores": 1}}',
        b"\xff",
    ],
)
def test_unreadable_settings_are_left_to_the_daemon(tmp_path, content):
    # Guards against a start that fails before it can report the problem.
    path = tmp_path / "settings.json"
    path.write_bytes(content)
    assert not early_start.open_caller_listener(str(path))
    assert not early_start.open_caller_listener(str(tmp_path / "missing"))


def test_caller_that_connects_before_the_instance_serves_is_answered(tmp_path):
    # Guards against callers that lose a try to a refused connection while all
    # instances start at once.
    async def scenario(cluster):
        address = cluster.instances[0].caller_address
        await cluster.instances[0].kill()
        assert early_listeners.open_early(address)
        host, _, port = address.rpartition(":")
        with socket.create_connection((host, int(port)), 5) as caller:
            caller.sendall(
                b"GET /stock/1 HTTP/1.1\r\n"
                b"Host: " + platform_documents.HOST.encode() + b"\r\n"
                b"Request-Id: early\r\nDeadline-Ms: 5000\r\n"
                b"X-Api-Key: " + platform_documents.API_KEY.encode() + b"\r\n"
                b"\r\n"
            )
            caller.setblocking(False)
            cluster.instances[0].restart()
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(platform_cluster.TIMEOUT_S):
                head = await loop.sock_recv(caller, 100)
        assert head.startswith(b"HTTP/1.1 200")

    async def run():
        async with platform_cluster.run_cluster(tmp_path) as cluster:
            await scenario(cluster)

    asyncio.run(run())
