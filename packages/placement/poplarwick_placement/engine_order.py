"""Orders the engines of a service for the groups of one long prompt.

Load pattern: long prompts before hundreds of engines that all run requests, so
that a group of any size stalls some of them. What depends on an engine alone is
kept in the snapshot of its load, and what is the same for several group sizes
is calculated once.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import itertools
import operator
from collections.abc import Callable
from collections.abc import Sequence

from poplarwick_placement import engine_model
from poplarwick_placement import loads
from poplarwick_placement import messages

GROUP_SIZES = (17, 14, 12, 10, 8, 6, 5, 4, 3, 2, 1)
"""Group sizes that are considered for one prompt; engines accept at most
sixteen helpers."""

MAX_RELATIVE_SLOWDOWN = 1.5
"""Slowdown relative to the fastest engine above which an engine joins no group:
a group waits for its slowest member."""

FAILURE_TOLERANCE = 0.15
"""Tolerated excess of an endpoint's share of failures over that of its best
peer; one failure in ten answers moves the share by about this much."""

_get_order_key = operator.attrgetter("backlog_s", "running_count")


@dataclasses.dataclass(slots=True, eq=False)
class Members:
    """Engines that may form groups, the preferred first.

    Attributes:
        views: The engines.
        has_primary: Whether the primary is known.
        primary: The engine that runs the request; None if no one may.
    """

    views: Sequence[loads.LoadView]
    has_primary: bool = False
    primary: loads.LoadView | None = None

    def find_primary(
        self,
        request: messages.PlacementRequest,
        may_run: Callable[[loads.EndpointLoad], bool],
    ) -> loads.LoadView | None:
        """Returns the first engine that holds the prompt, or the emptiest one.

        Args:
            request: The request with the prompt.
            may_run: Returns whether an engine may run the request.
        """
        if not self.has_primary:
            self.has_primary = True
            self.primary = _choose_primary(request, self.views, may_run)
        return self.primary

    def find_helpers(
        self, primary: loads.LoadView, count: int
    ) -> list[loads.LoadView]:
        """Returns the first engines that accept a further part.

        Args:
            primary: Engine that runs the request.
            count: Most engines to return.
        """
        accepting = (
            view
            for view in self.views
            if view is not primary
            and len(view.load.helper_allocations) < view.load.slots
        )
        return list(itertools.islice(accepting, count))


class PromptParts:
    """Prefill times of the parts of one prompt.

    The engines of a service mostly share a profile, so the time of the whole
    prompt is calculated once for each.

    Args:
        request: The request with the prompt.
    """

    def __init__(self, request: messages.PlacementRequest) -> None:
        self._tokens = request.prompt_tokens
        self._full_s: dict[int, float] = {}

    def calculate_prefill_s(self, load: loads.EndpointLoad, size: int) -> float:
        """Returns the time of a part on an engine in a group of a size."""
        profile = load.profile
        if profile is None:
            return 0.0
        full_s = self._full_s.get(id(profile))
        if full_s is None:
            full_s = engine_model.calculate_prefill_s(profile, self._tokens)
            self._full_s[id(profile)] = full_s
        return load.slowdown * (full_s / size)


class EngineOrder:
    """The engines that may prefill parts of one prompt at one moment.

    Args:
        parts: Prefill times of the prompt.
        helper_views: The usable engines; at least one.
        now_s: Monotonic time.
    """

    def __init__(
        self,
        parts: PromptParts,
        helper_views: Sequence[loads.LoadView],
        now_s: float,
    ) -> None:
        self._parts = parts
        self._now_s = now_s
        self._views = _order_engines(helper_views)
        # One engine of each speed; mostly there is a single one.
        self._speeds = {view.speed: view.load for view in self._views}
        self._least_sizes: Sequence[int] | None = None
        self._size_counts: collections.Counter[int] = collections.Counter()
        self._unstalled = Members(())
        self._by_full_loss: Members | None = None

    def find_unstalled(self, size: int) -> Members:
        """Returns the engines on which a part stalls no request.

        Smaller groups have longer parts, so they find the engines among those
        of larger groups. Most sizes find the same ones.

        Args:
            size: Size of the group; no larger than at the call before.
        """
        if self._least_sizes is None:
            self._least_sizes = self._find_least_sizes()
            self._size_counts.update(self._least_sizes)
        count = sum(
            number
            for least_size, number in self._size_counts.items()
            if least_size <= size
        )
        if count != len(self._unstalled.views):
            self._unstalled = Members(
                [
                    view
                    for view, least_size in zip(
                        self._views, self._least_sizes, strict=True
                    )
                    if least_size <= size
                ]
            )
        return self._unstalled

    def sort_by_stall_loss(self, size: int) -> Members:
        """Returns the engines by the weight that a part for a group costs.

        Once a part stalls all requests of each engine past their limits, longer
        parts cost no more.

        Args:
            size: Size of the group; no larger than at the call before.
        """
        if self._by_full_loss is not None:
            return self._by_full_loss
        parts_s = {
            speed: self._parts.calculate_prefill_s(load, size)
            for speed, load in self._speeds.items()
        }
        if min(parts_s.values()) > max(
            [view.full_stall_s for view in self._views]
        ):
            losses = [view.full_stall_loss for view in self._views]
            self._by_full_loss = members = self._sort(losses)
            return members
        return self._sort(
            [
                view.calculate_stall_loss(parts_s[view.speed], self._now_s)
                for view in self._views
            ]
        )

    def _sort(self, losses: Sequence[float]) -> Members:
        order = sorted(range(len(losses)), key=losses.__getitem__)
        return Members([self._views[index] for index in order])

    def _find_least_sizes(self) -> Sequence[int]:
        """Returns the least groups whose parts stall no request past its limit.

        Above all sizes where there is none.
        """
        parts_s = {
            speed: [
                self._parts.calculate_prefill_s(load, size)
                for size in GROUP_SIZES
            ]
            for speed, load in self._speeds.items()
        }
        sizes = (GROUP_SIZES[0] + 1, *GROUP_SIZES)
        shortest_s = min(by_size[0] for by_size in parts_s.values())
        if max([view.slack_s for view in self._views]) < shortest_s:
            return [sizes[0]] * len(self._views)
        return [
            sizes[bisect.bisect_right(parts_s[view.speed], view.slack_s)]
            for view in self._views
        ]


def _order_engines(
    helper_views: Sequence[loads.LoadView],
) -> Sequence[loads.LoadView]:
    """Returns the engines that do not slow a group down, idle ones first."""
    slowdowns = [view.load.slowdown for view in helper_views]
    max_slowdown = MAX_RELATIVE_SLOWDOWN * min(slowdowns)
    fast_enough = helper_views
    if max(slowdowns) > max_slowdown:
        fast_enough = [
            view for view in helper_views if view.load.slowdown <= max_slowdown
        ]
    return sorted(_exclude_failing(fast_enough), key=_get_order_key)


def _exclude_failing(
    views: Sequence[loads.LoadView],
) -> Sequence[loads.LoadView]:
    """Returns the engines whose share of failures is near the lowest one."""
    shares = [view.load.failure_share for view in views]
    max_share = min(shares) + FAILURE_TOLERANCE
    if max(shares) <= max_share:
        return views
    return [view for view in views if view.load.failure_share <= max_share]


def _choose_primary(
    request: messages.PlacementRequest,
    views: Sequence[loads.LoadView],
    may_run: Callable[[loads.EndpointLoad], bool],
) -> loads.LoadView | None:
    emptiest: loads.LoadView | None = None
    for view in views:
        if not may_run(view.load):
            continue
        if view.calculate_missing_tokens(request) <= 0:
            return view
        if (
            emptiest is None
            or view.free_memory_tokens > emptiest.free_memory_tokens
        ):
            emptiest = view
    return emptiest
