"""Tests of the versions of the messages between instances."""

from __future__ import annotations

import pytest

from poplarwick_coordination import log_events
from poplarwick_coordination import message_streams
from poplarwick_core import logs
from poplarwick_peers.wire import placement_pb2

NEWER_KIND = bytes([0xFA, 0x07, 0x00])
"""An empty message in field 127, which this release does not know."""


@pytest.mark.parametrize(
    "kind", [placement_pb2.PlacerMessage, placement_pb2.EntryMessage]
)
def test_unknown_messages_are_ignored_and_logged_once(kind, monkeypatch):
    logged = []
    monkeypatch.setattr(logs, "log", logged.append)
    handled = []
    receiver = message_streams.Receiver("peer", handled.append)
    for _ in range(3):
        receiver.receive(kind.FromString(NEWER_KIND))
    known = kind()
    known.beat.protocol = 2
    receiver.receive(known)
    assert handled == [known]
    assert logged == [log_events.MessageUnknown(peer="peer")]
