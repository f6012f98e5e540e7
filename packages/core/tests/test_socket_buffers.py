"""Tests for the sizes of socket buffers, on real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import types

from poplarwick_core import socket_buffers

FIRST_BYTES = 131_072
SMALL_BYTES = 8_192


def read_sizes(unsent):
    """Returns the sizes that were set; Linux doubles them."""
    return [
        transport.get_extra_info("socket").getsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF
        )
        // 2
        for transport in unsent
    ]


def run(scenario, count):
    """Runs a scenario with connections that nobody reads."""

    async def run_with_connections():
        loop = asyncio.get_running_loop()
        unsent = []
        with contextlib.ExitStack() as stack:
            for _ in range(count):
                near, far = socket.socketpair()
                stack.callback(far.close)
                socket_buffers.limit_buffers(near, SMALL_BYTES)
                transport, _ = await loop.create_connection(
                    asyncio.Protocol, sock=near
                )
                stack.callback(transport.abort)
                transport.write(bytes(4 * FIRST_BYTES))
                unsent.append(transport)
            scenario(unsent)

    asyncio.run(run_with_connections())


# Guards against buffers that shrink below what they hold, as there are more
# connections later in a stop.
def test_extended_buffer_is_not_reduced_for_later_connections():
    def scenario(unsent):
        socket_buffers.hand_over_unsent(unsent[:1], FIRST_BYTES)
        assert read_sizes(unsent[:1]) == [FIRST_BYTES]
        socket_buffers.hand_over_unsent(unsent, FIRST_BYTES + 10 * SMALL_BYTES)
        assert read_sizes(unsent) == [FIRST_BYTES] + 2 * [5 * SMALL_BYTES]
        socket_buffers.hand_over_unsent(unsent, 0)
        assert read_sizes(unsent) == [FIRST_BYTES] + 2 * [5 * SMALL_BYTES]

    run(scenario, 3)


def test_connection_that_has_ended_does_not_keep_others_from_the_kernel():
    def scenario(unsent):
        with socket.socket() as closed:
            ended = types.SimpleNamespace(get_extra_info=lambda name: closed)
        socket_buffers.hand_over_unsent([ended, *unsent], 2 * FIRST_BYTES)
        assert read_sizes(unsent) == [FIRST_BYTES]

    run(scenario, 1)
