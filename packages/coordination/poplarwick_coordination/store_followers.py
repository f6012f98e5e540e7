"""Decides which instances follow the store themselves.

Load pattern: changes that come in quick succession at a large fleet, where a
watch of every instance would return for each of them. The placer follows the
store and passes changes on; a few instances follow it too, so that one of them
can place at once when the placer is lost.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping

from poplarwick_catalogue import catalogue
from poplarwick_coordination import placement_client
from poplarwick_core import clock
from poplarwick_core import ids

STANDBY_FOLLOWERS = 2
"""Instances beside the placer that follow the store."""

DISCONNECTED_S = 0.5
"""Time without a placer after which an instance follows the store itself; a
tenure that is handed over takes less."""


def should_follow_store(
    instance: ids.InstanceId,
    members: Mapping[ids.InstanceId, catalogue.MemberItem],
    own: placement_client.PlacementClient,
    *,
    is_placer: bool,
) -> bool:
    """Tells whether an instance follows the store itself."""
    if is_placer:
        return True
    if own.connection is None:
        return clock.now_s() - own.disconnected_since_s > DISCONNECTED_S
    if not own.connection.hears_store or own.is_behind:
        return True
    return rank_instance(instance, members) < STANDBY_FOLLOWERS


def rank_instance(
    instance: ids.InstanceId,
    members: Mapping[ids.InstanceId, catalogue.MemberItem],
) -> int:
    """Returns an instance's place in an order that all agree on.

    Instances with more processor time and a larger link come first. An
    instance that is not among the members comes after them.
    """
    ranked = sorted(
        members,
        key=lambda name: (-members[name].strength, zlib.crc32(name.encode())),
    )
    return ranked.index(instance) if instance in ranked else len(ranked)
