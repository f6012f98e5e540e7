"""Cuts single instances of a cluster in this process off from replicas."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import enum
import socket
import struct
import threading

import aiohttp

CURRENT_INSTANCE = contextvars.ContextVar("current_instance", default=None)
"""Name of the instance whose task runs; tasks inherit it."""

HANG_S = 60.0

FIND_OUT_TIMEOUT_S = 15.0
"""Longest time in which an instance finds out that it is cut off."""


@contextlib.contextmanager
def reset_connections():
    """Resets connections to the address that the context returns.

    In a thread: a network resets them also while the instances stand still.
    """
    with socket.create_server(("127.0.0.1", 0)) as listening:

        def reset():
            while True:
                connection, _ = listening.accept()
                with connection:
                    if is_over.is_set():
                        return
                    connection.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack("ii", 1, 0),
                    )

        is_over = threading.Event()
        thread = threading.Thread(target=reset, daemon=True)
        thread.start()
        address = listening.getsockname()
        try:
            yield address
        finally:
            is_over.set()
            with contextlib.suppress(OSError):
                socket.create_connection(address).close()
            thread.join()


class Shape(enum.Enum):
    """What happens to new connections."""

    HANG = "hang"
    REFUSED = "refused"
    RESET = "reset"


class NetworkCuts:
    """Lets connections of instances that are cut off hang or be refused."""

    def __init__(self):
        self.shape = Shape.HANG
        self.cut_instances = set()
        self.cut_addresses = set()
        self.attempts = 0

    @contextlib.asynccontextmanager
    async def install(self):
        """Acts on the running loop while the context is open."""
        loop = asyncio.get_running_loop()
        connect = loop.sock_connect

        async def sock_connect(sock, address):
            if self._is_cut(address):
                self.attempts += 1
                if self.shape is Shape.REFUSED:
                    raise ConnectionRefusedError(111, "cut off")
                if self.shape is Shape.RESET:
                    return await connect(sock, resetting_address)
                await asyncio.sleep(HANG_S)
            return await connect(sock, address)

        with reset_connections() as resetting_address:
            loop.sock_connect = sock_connect
            try:
                yield self
            finally:
                del loop.sock_connect

    def cut(self, instances, replicas):
        """Cuts instances off from replicas."""
        self.cut_instances = {instance.name for instance in instances}
        self.cut_addresses = {replica.address for replica in replicas}

    def heal(self):
        """Ends all cuts."""
        self.cut_instances = set()

    def _is_cut(self, address):
        host, port = address[:2]
        return (
            CURRENT_INSTANCE.get() in self.cut_instances
            and f"{host}:{port}" in self.cut_addresses
        )


async def cut_off(cluster, cuts, instance):
    """Cuts an instance off from all replicas, and waits until it knows.

    An instance finds out by its requests.
    """
    cuts.cut([instance], cluster.replicas)
    number = cluster.instances.index(instance)
    async with asyncio.timeout(FIND_OUT_TIMEOUT_S):
        while not instance.node.reach.is_cut_off:
            with contextlib.suppress(aiohttp.ClientError):
                async with cluster.call("/stock/", number) as response:
                    await response.read()
