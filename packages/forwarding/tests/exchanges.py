"""Exchanges for tests of the request runner."""

from __future__ import annotations

from poplarwick_adapter import dialect as platform_dialect
from poplarwick_catalogue import types as catalogue_types
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_forwarding import admission
from poplarwick_forwarding import buffer_budget
from poplarwick_forwarding import http_exchange

TIME_LEFT_S = 0.05


def make_exchange():
    route = catalogue_types.Route(
        name=catalogue_types.RouteName("order"),
        host="h",
        path_prefix="/order/",
        kind=catalogue_types.RequestKind.NON_IDEMPOTENT,
        timeout_s=TIME_LEFT_S,
        target_latency_s=TIME_LEFT_S,
        priority=1,
        destinations=(),
        max_attempts=2,
        is_public=True,
        may_resume=False,
        pause_limit_s=None,
    )
    dialect = platform_dialect.PlatformDialect()
    now_s = clock.now_s()
    return http_exchange.Exchange(
        metadata=dialect.parse_request({"Request-Id": "r"}),
        admission=admission.Admission(route, None),
        service=ids.ServiceId("orders"),
        method="POST",
        target="/order/",
        headers={},
        body=b"",
        fingerprint=ids.RequestFingerprint("f0"),
        received_at_s=now_s,
        deadline_at_s=now_s + TIME_LEFT_S,
        held=buffer_budget.HeldBytes(
            buffer_budget.BufferBudget(buffer_budget.make_limits(0))
        ),
    )
