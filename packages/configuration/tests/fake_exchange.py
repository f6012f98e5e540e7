"""In-process transport between instances."""

from __future__ import annotations

import asyncio

from poplarwick_core import errors


class Network:
    """Connects the followers of several instances.

    Attributes:
        followers: Running instances by id.
        cut: Pairs (caller, callee) without connectivity.
        paused: Instances that never respond.
    """

    def __init__(self):
        self.followers = {}
        self.cut = set()
        self.paused = set()

    def open(self, own):
        return FakeExchange(self, own)


class FakeExchange:
    """Implements the `Exchange` protocol for one instance."""

    def __init__(self, network, own):
        self.own = own
        self._network = network

    def list_peers(self):
        return tuple(n for n in self._network.followers if n != self.own)

    async def fetch_snapshot(self, peer, *, newer_than, known_sections, wait_s):
        callee = self._find(peer)
        if peer in self._network.paused:
            await asyncio.Event().wait()
        data = await callee.make_snapshot(newer_than, known_sections, wait_s)
        self._find(peer)
        return data

    async def send_marks(self, peer, marks):
        await self._find(peer).receive_marks(marks)

    def _find(self, peer):
        followers = self._network.followers
        if peer not in followers or (self.own, peer) in self._network.cut:
            raise errors.PoplarwickError(f"{peer} does not respond")
        return followers[peer]
