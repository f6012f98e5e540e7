"""Tests for the memory of unsent data at the end of a stop."""

from __future__ import annotations

import contextlib
import socket
import types

from poplarwick_core import socket_buffers
from poplarwick_forwarding import buffer_budget
from poplarwick_forwarding import frontend

SHARE_BYTES = 65_536
SMALL_BYTES = 8_192


# Guards against a stop that takes twice the memory that it has for buffers.
def test_relayed_connections_share_the_memory_with_those_of_callers(
    monkeypatch,
):
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(2)]
        caller, relayed = (
            types.SimpleNamespace(
                get_extra_info=lambda name, sock=sock: sock,
                get_write_buffer_size=lambda: 1,
            )
            for sock in sockets
        )
        for sock in sockets:
            socket_buffers.limit_buffers(sock, SMALL_BYTES)
        monkeypatch.setattr(
            frontend.Frontend,
            "connections",
            [types.SimpleNamespace(transport=caller)],
        )
        stopping = frontend.Frontend(
            "127.0.0.1:0",
            lambda: None,
            None,
            None,
            buffer_budget.BufferBudget(
                buffer_budget.BufferLimits(2 * SHARE_BYTES, 0, 0, SMALL_BYTES)
            ),
            None,
            lambda: [relayed],
        )
        stopping.prepare_for_end()
        assert [
            sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) // 2
            for sock in sockets
        ] == [SHARE_BYTES, SHARE_BYTES]
