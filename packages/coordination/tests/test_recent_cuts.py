"""Tests what a placer learns of crashes that another one has seen."""

from __future__ import annotations

import asyncio
import dataclasses

import role_fakes

from poplarwick_bench import examples
from poplarwick_catalogue import catalogue
from poplarwick_catalogue import types
from poplarwick_coordination import placement_client
from poplarwick_coordination import placer
from poplarwick_coordination import placer_role
from poplarwick_coordination import recent_cuts
from poplarwick_coordination import wire_codec
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_peers.wire import placement_pb2
from poplarwick_placement import messages
from poplarwick_platform import mirror

REQUEST = messages.PlacementRequest(
    ids.RequestId("r"),
    ids.ServiceId("pool"),
    5_000,
    170,
    1.0,
    10.0,
    1.0,
    was_cut_off=True,
    fingerprint=ids.RequestFingerprint("bad"),
)


def make_cut(number, at_s, *, fingerprint="bad", written_s=None):
    request = dataclasses.replace(
        REQUEST, fingerprint=ids.RequestFingerprint(fingerprint)
    )
    start = types.EndpointStart(ids.EndpointId(f"e{number}"), 7)
    return recent_cuts.RecentCut(
        number, request, start, "v1", written_s, at_s, at_s - 1.0
    )


def make_placer(found, store_mirror):
    return placer.Placer(
        ids.InstanceId("placer"),
        found,
        store_mirror,
        examples.make_deployment(),
        lambda address: None,
        ids.Epoch(1),
        None,
        lambda: True,
        role_fakes.Notices(),
    )


def send_cuts(new_placer, session, cuts):
    now_s = clock.now_s()
    for cut in cuts:
        message = placement_pb2.EntryMessage()
        message.cut.CopyFrom(wire_codec.encode_cut(cut, now_s))
        new_placer.handle(session, message)


def test_next_placer_weighs_each_cut_once():
    async def scenario():
        store_mirror = mirror.Mirror()
        found = catalogue.Catalogue(store_mirror, lambda key, value: None)
        new_placer = make_placer(found, store_mirror)
        scheduler = new_placer._scheduler
        now_s = clock.now_s()
        cuts = [make_cut(number, now_s - 5 + number) for number in range(2)]
        # The stream ends and is opened again.
        for _ in range(2):
            session = new_placer.open_session(ids.InstanceId("a"), [].append)
            send_cuts(new_placer, session, cuts[:1])
        assert scheduler.evidence.is_accused(REQUEST)
        assert not scheduler.evidence.is_suspected(REQUEST)
        send_cuts(new_placer, session, cuts)
        assert scheduler.evidence.is_suspected(REQUEST)
        found.record_leaving(types.EndpointStart(ids.EndpointId("e2"), 7))
        scheduler.evidence.forgive(
            REQUEST.service, frozenset(), REQUEST.fingerprint
        )
        send_cuts(new_placer, session, [make_cut(2, now_s)])
        assert not scheduler.evidence.is_accused(REQUEST)

    asyncio.run(scenario())


def test_cut_keeps_its_times_on_the_way():
    cut = make_cut(3, 7.0, written_s=0.25)
    message = placement_pb2.Cut.FromString(
        wire_codec.encode_cut(cut, 8.0).SerializeToString()
    )
    decoded = wire_codec.decode_cut(message, 108.0)
    assert (decoded.at_s, decoded.sent_at_s) == (107.0, 106.0)
    assert decoded[2:5] == cut[2:5]
    assert decoded.request.fingerprint == cut.request.fingerprint


def test_cuts_are_reported_to_placers_that_know_them_only():
    async def scenario():
        store_mirror = mirror.Mirror()
        found = catalogue.Catalogue(store_mirror, lambda key, value: None)
        client = role_fakes.make_client(found, store_mirror)
        client._cuts.record(make_cut(1, clock.now_s()))
        sent = {}
        for protocol in (0, 1):
            messages_sent = sent[protocol] = []
            client.attach(
                placement_client.PlacerConnection(
                    "placer",
                    protocol,
                    messages_sent.append,
                    clock.now_s(),
                    protocol=protocol,
                )
            )
        kinds = {p: [m.WhichOneof("kind") for m in s] for p, s in sent.items()}
        assert kinds == {0: [], 1: ["cut"]}

    asyncio.run(scenario())


def test_loss_of_several_endpoints_at_once_speaks_against_no_request():
    cuts = recent_cuts.RecentCuts()
    cuts.record(make_cut(1, 5.0))
    assert cuts.is_suspected(REQUEST, 5.0)
    cuts.record(make_cut(2, 5.05, fingerprint="other"))
    assert not cuts.is_suspected(REQUEST, 5.1)


def test_cuts_are_dropped_after_an_answer_or_the_retention_period():
    cuts = recent_cuts.RecentCuts()
    cuts.record(make_cut(1, 5.0))
    cuts.record(make_cut(2, 5.0, fingerprint="other"))
    cuts.record_answer(REQUEST)
    assert [cut.number for cut in cuts.iter_recent(6.0)] == [2]
    assert not list(cuts.iter_recent(5.1 + recent_cuts.RETENTION_S))


async def find_quarantines(*, answers_another):
    """Returns what an instance refuses that becomes the placer.

    It has seen three crashes by one request and nothing else since.

    Args:
        answers_another: Whether it saw another request answered before.
    """
    store_mirror = mirror.Mirror()
    found = catalogue.Catalogue(store_mirror, lambda key, value: None)
    client = role_fakes.make_client(found, store_mirror)
    now_s = clock.now_s()
    if answers_another:
        sound = dataclasses.replace(
            REQUEST, fingerprint=ids.RequestFingerprint("sound")
        )
        client.evidence.record_complete(
            types.Endpoint(
                ids.EndpointId("e0"),
                REQUEST.service,
                "10.0.0.1:80",
                ids.DomainId("a"),
                types.EndpointState.READY,
                8,
                0.0,
                7,
                "v1",
            ),
            sound,
            now_s - 6,
        )
    for number in range(1, 4):
        client._cuts.record(make_cut(number, now_s - 5 + number))
    role = role_fakes.make_role(client, found, store_mirror)
    role.set_epoch(ids.Epoch(1))
    running = asyncio.create_task(role.run())
    await asyncio.sleep(5 * placer_role.MAJORITY_POLL_PERIOD_S)
    assert client.connection is not None
    running.cancel()
    await asyncio.wait((running,))
    return [q.fingerprint for q in found.quarantines.known]


def test_placer_knows_what_its_instance_saw_answered_before_the_crashes():
    """A request that comes alone is blamed only if others were answered.

    A placer that knew only the crashes let it end one endpoint after another.
    """
    found = asyncio.run(find_quarantines(answers_another=True))
    assert found == [REQUEST.fingerprint]


def test_next_placer_blames_no_request_if_nothing_was_ever_answered():
    """The endpoints themselves are then the likelier cause."""
    assert not asyncio.run(find_quarantines(answers_another=False))
