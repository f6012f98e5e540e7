"""Stand-ins that several tests of coordination share."""

from __future__ import annotations

from poplarwick_bench import examples
from poplarwick_coordination import placement_client
from poplarwick_coordination import placer_role
from poplarwick_core import ids
from poplarwick_platform import kv


class RecordingStore:
    """Client of a store that accepts everything; records the commits."""

    def __init__(self):
        self.commits = []

    async def grant_lease(self, ttl_s, purpose):
        return kv.LeaseId(1)

    async def keep_alive(self, lease):
        return 1.0

    async def commit(self, conditions, operations, purpose):
        self.commits.append((conditions, operations))
        return kv.Committed(kv.Revision(10 + len(self.commits)), 0)


class Notices:
    """What endpoints have asked of this instance: nothing."""

    def is_paused(self, address):
        return False


def make_client(found, store_mirror, kind=placement_client.PlacementClient):
    return kind(
        found,
        store_mirror,
        examples.make_deployment(),
        lambda *observed: None,
        lambda: True,
        lambda *handover: None,
    )


def make_role(client, found, store_mirror, control=None):
    return placer_role.PlacerRole(
        ids.InstanceId("placer"),
        found,
        store_mirror,
        examples.make_deployment(),
        lambda address: None,
        client,
        None,
        lambda: True,
        control,
        Notices(),
    )
