"""Selects the instances that follow the store directly.

Load pattern: a burst of changes in a large fleet, where the watch of every
instance would return for each change. The placer follows the store and forwards
changes. A few other instances follow it as well, so that one of them can take
over immediately when the placer is lost.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping

from poplarwick_catalogue import catalogue
from poplarwick_coordination import placement_client
from poplarwick_core import clock
from poplarwick_core import ids

STANDBY_FOLLOWERS = 2
"""Instances that follow the store in addition to the placer."""

DISCONNECTED_LIMIT_S = 0.5
"""Time without a placer after which an instance follows the store directly. A
hand-over takes less."""


def should_follow_store(
    instance: ids.InstanceId,
    members: Mapping[ids.InstanceId, catalogue.MemberItem],
    client: placement_client.PlacementClient,
    *,
    is_placer: bool,
) -> bool:
    """Returns whether an instance should follow the store directly.

    Args:
        instance: This instance.
        members: Known members.
        client: Placement client of this instance.
        is_placer: Whether this instance holds the tenure.
    """
    if is_placer:
        return True
    if client.connection is None:
        return (
            clock.now_s() - client.disconnected_since_s > DISCONNECTED_LIMIT_S
        )
    if not client.connection.receives_store_updates or client.is_behind:
        return True
    return rank_instance(instance, members) < STANDBY_FOLLOWERS


def needs_changes_at_once(
    instance: ids.InstanceId,
    members: Mapping[ids.InstanceId, catalogue.MemberItem],
    client: placement_client.PlacementClient,
    *,
    is_placer: bool,
) -> bool:
    """Returns whether an instance must know changes as soon as they are made.

    The placer and the instances that may take over from it do, and those that
    the placer is ahead of. Without a placer, changes can be gathered.

    Args:
        instance: This instance.
        members: Known members.
        client: Placement client of this instance.
        is_placer: Whether this instance holds the tenure.
    """
    return (
        is_placer
        or client.connection is not None
        or (
            instance in members
            and rank_instance(instance, members) < STANDBY_FOLLOWERS
        )
    )


def rank_instance(
    instance: ids.InstanceId,
    members: Mapping[ids.InstanceId, catalogue.MemberItem],
) -> int:
    """Returns an instance's rank in an order that all instances agree on.

    Instances with more processor time and network bandwidth come first. An
    instance that is not a member ranks after all members.
    """
    ranked = sorted(
        members,
        key=lambda name: (-members[name].strength, zlib.crc32(name.encode())),
    )
    return ranked.index(instance) if instance in ranked else len(ranked)
