"""Requests around the stop of an instance."""

from __future__ import annotations

import time

import platform_cluster


def stand_still(duration_s):
    """Keeps the event loop, and with it all instances, from running."""
    time.sleep(duration_s)


def make_call(cluster, path="/label/", *, instance=0, **options):
    """Sends a request that may take longer than a stop."""
    return cluster.call(
        path, instance, headers={"Deadline-Ms": "15000"}, **options
    )


async def allow_long_requests(cluster):
    """Sets routes whose requests may take longer than a stop."""
    routes = [
        platform_cluster.make_route(
            name, kind, service, timeout_ms=15_000, target_latency_ms=5_000
        )
        for name, kind, service in (
            ("label", "streaming", "pool"),
            ("order", "non_idempotent", "orders"),
            ("stock", "idempotent", "orders"),
        )
    ]
    await cluster.store.put(
        "op/config", platform_cluster.make_configuration(2, routes)
    )
    for instance in cluster.instances:
        await platform_cluster.wait_until(
            lambda node=instance.node: node.catalogue.routing.version == 2
        )
