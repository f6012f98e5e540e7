"""Tests of where a request queues when no dispatcher grants it at once."""

import asyncio

import pytest

from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_entry import grants
from poplarwick_entry import request_errors
from poplarwick_peers import membership
from poplarwick_peers.wire import grant_pb2

MEMBERS = tuple(
    membership.Member(f"i{n}", f"127.0.0.1:{n}", "d", "r", 1) for n in range(4)
)


class Members:
    own = MEMBERS[0]
    members = MEMBERS

    def find(self, instance):
        return None


class Router:
    def rank(self, request, members):
        return [member.instance for member in members]

    def record_hints(self, instance, hints):
        pass

    def record_refusal(self, instance, target, reason):
        pass


class ScriptedGrantClient(grants.GrantClient):
    """Gets the replies of the dispatchers from functions of a test."""

    def __init__(self, replies):
        owners = frozenset(ids.InstanceId(name) for name in replies)
        super().__init__(
            Members(), Router(), None, None, None, lambda model, service: owners
        )
        self.replies = replies
        self.contacted = []

    async def _send_acquire(self, instance, request):
        self.contacted.append((instance, request.hops))
        return self.replies[instance](request)


def refuse(reason, **hint):
    refusal = grant_pb2.Refusal(reason=reason)
    hints = [grant_pb2.Room(model="m", **hint)]
    return grant_pb2.AcquireReply(refusal=refusal, room=hints)


def report_absent(request):
    return refuse(grant_pb2.REFUSAL_NO_ROOM, is_absent=True)


def make_busy_dispatcher(queue_s):
    def reply(request):
        if request.hops == grants.pool.LAST_HOP:
            grant = grant_pb2.Grant(grant_id="g", endpoint="e")
            return grant_pb2.AcquireReply(grant=grant)
        return refuse(grant_pb2.REFUSAL_NO_ROOM, queue_s=queue_s)

    return reply


def acquire(grant_client, timeout_s=5.0):
    grant_request = grants.GrantRequest(
        request_id=ids.RequestId("q"),
        organisation=ids.OrganisationId("o"),
        deadline=clock.make_deadline(timeout_s),
        model="m",
    )
    return asyncio.run(grant_client.acquire(grant_request, frozenset(), 1))


def test_request_queues_at_the_shortest_queue():
    grant_client = ScriptedGrantClient(
        {
            "i0": make_busy_dispatcher(3.0),
            "i1": make_busy_dispatcher(1.0),
            "i2": make_busy_dispatcher(2.0),
        }
    )
    assert acquire(grant_client).endpoint == "e"
    assert grant_client.contacted[-1] == ("i1", grants.pool.LAST_HOP)


def test_request_never_queues_where_all_endpoints_are_out_of_service():
    grant_client = ScriptedGrantClient(
        {
            "i0": report_absent,
            "i1": make_busy_dispatcher(9.0),
            "i2": report_absent,
        }
    )
    assert acquire(grant_client).endpoint == "e"
    assert grant_client.contacted[-1] == ("i1", grants.pool.LAST_HOP)


def test_request_is_retried_while_endpoints_change_owners():
    calls = []

    def change_owner(request):
        calls.append(request.hops)
        if len(calls) < 3:
            return refuse(grant_pb2.REFUSAL_NOT_OWNER)
        grant = grant_pb2.Grant(grant_id="g", endpoint="e")
        return grant_pb2.AcquireReply(grant=grant)

    assert acquire(ScriptedGrantClient({"i0": change_owner})).endpoint == "e"


def test_full_fleet_is_refused_at_once():
    def refuse_full(request):
        return refuse(grant_pb2.REFUSAL_NO_ROOM, queue_s=1.0)

    with pytest.raises(request_errors.RequestEndedError) as caught:
        acquire(ScriptedGrantClient({"i0": refuse_full}))
    assert caught.value.ending.retry_after_s > 0
