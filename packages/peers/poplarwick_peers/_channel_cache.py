"""Least-recently-used cache of gRPC channels to peers."""

from __future__ import annotations

import collections
from collections.abc import Callable

from grpclib import client

MAX_CHANNELS = 32

OpenChannel = Callable[[str], client.Channel]


def open_insecure_channel(address: str) -> client.Channel:
    """Opens a channel without TLS to an address of host and port."""
    host, _, port = address.rpartition(":")
    return client.Channel(host, int(port))


class ChannelCache:
    """Caches the most recently used channels and closes the others.

    Args:
        open_channel: Opens a channel to an address of host and port.
        limit: Maximum number of open channels.
    """

    def __init__(
        self, open_channel: OpenChannel, limit: int = MAX_CHANNELS
    ) -> None:
        self._open_channel = open_channel
        self._limit = limit
        self._channels: collections.OrderedDict[str, client.Channel] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._channels)

    def get(self, address: str) -> client.Channel:
        """Returns the channel to an address and opens it if necessary."""
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = self._open_channel(address)
        self._channels[address] = channel
        while len(self._channels) > self._limit:
            _, oldest = self._channels.popitem(last=False)
            oldest.close()
        return channel

    def drop(self, address: str, channel: client.Channel) -> None:
        """Closes a channel after a failed call and removes it."""
        if self._channels.get(address) is channel:
            del self._channels[address]
        channel.close()

    def close(self) -> None:
        """Closes all channels."""
        while self._channels:
            _, channel = self._channels.popitem()
            channel.close()
