"""What an endpoint is known to carry."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Hashable

from poplarwick_catalogue import types
from poplarwick_placement import engine_model
from poplarwick_placement import messages

LONG_READ_S = 0.1
"""Reading time over which a prompt counts as long; about the pause that a
short request's limit leaves beside two passes."""

LATE_LOSS = 0.75
"""Share of its value that a request loses by being late: the users' sheets
give a late answer a quarter of an on-time one's worth."""

MEMORY_SHARE = 0.98
"""Part of an engine's memory that is booked; the rest covers rounding to the
engine's blocks of tokens."""


ANSWER_WEIGHT = 0.2
"""Weight of the newest answer in the usual time of a plain service's."""

OWN_READ_S = 0.04
"""Least time left of a read whose first event has not come; about a pass."""

READ_MARGIN_S = 0.04
"""Time that a read may end later than worked out: the way to the engine, and
most of the pass that goes on there when it arrives. An engine's newest part
goes ahead of all other reads, so one that comes too early holds the rest of
the one before it up for the whole of its own time."""

OVERDUE_S = 1.5
"""Time past the expected end of a read after which it does not count: work that
depends on a lost engine is cut off after it."""


@dataclasses.dataclass(slots=True)
class Booking:
    """One request's share of an endpoint.

    Attributes:
        work: What the request needs.
        read_s: Time that the endpoint reads for it.
        whole_read_s: Time that one engine would read the whole prompt.
        memory_tokens: Memory that it takes here.
        booked_at_s: When it was booked.
        due_at_s: When its reading is expected to end.
        first_at_s: When its first event came; None before.
        is_harmed: Whether a pause already makes it late.
    """

    work: messages.PlacementRequest
    read_s: float
    whole_read_s: float
    memory_tokens: int
    booked_at_s: float
    due_at_s: float
    first_at_s: float | None = None
    is_harmed: bool = False

    def is_plausible(self, now_s: float) -> bool:
        """Tells whether its first event may still be on its way."""
        return now_s < self.due_at_s + OVERDUE_S


@dataclasses.dataclass(frozen=True, slots=True)
class LoadView:
    """An endpoint's load at one moment, as far as choices need it.

    Attributes:
        load: The load.
        writers: Requests that run.
        context_tokens: Sum of their prompts.
        free_slots: Slots that no known request holds.
        free_memory_tokens: Memory that no known request holds.
        has_short: Whether a request with a short prompt runs.
        backlog_s: Time until the reading booked so far ends.
        residual_s: Expected time until the pass in progress ends.
        slack_s: Longest read that holds up no writer past its limit.
    """

    load: EndpointLoad
    writers: int
    context_tokens: int
    free_slots: int
    free_memory_tokens: int
    has_short: bool
    backlog_s: float
    residual_s: float
    slack_s: float

    def estimate_first_s(
        self, wanted: messages.PlacementRequest, read_s: float
    ) -> float:
        """Returns the expected time to a request's first event here."""
        pass_s = 0.0
        if self.load.profile is not None:
            pass_s = self.load.pace * engine_model.calculate_pass_s(
                self.load.profile,
                self.writers + 1,
                self.context_tokens + wanted.prompt_tokens,
            )
        return self.residual_s + self.backlog_s + read_s + pass_s

    def calculate_harm(self, read_s: float, now_s: float) -> float:
        """Returns the value lost by the pause that such a read causes."""
        if read_s <= self.slack_s:
            return 0.0
        return self.load.calculate_harm(read_s, now_s)


@dataclasses.dataclass(frozen=True, slots=True)
class _Summary:
    """What changes only with the requests booked.

    Attributes:
        pass_s: Time of a pass without reading.
        context_tokens: Sum of the writers' prompts.
        free_memory_tokens: Memory that no known request holds.
        has_short: Whether a request with a short prompt runs.
        pause_limit_s: Shortest pause limit of the requests that write and are
            on time.
        unread: Requests whose first event has not come.
    """

    pass_s: float
    context_tokens: int
    free_memory_tokens: int
    has_short: bool
    pause_limit_s: float
    unread: tuple[Booking, ...]


@dataclasses.dataclass(slots=True)
class EndpointLoad:
    """Requests at one endpoint and what they mean for the next one.

    Attributes:
        endpoint: The endpoint.
        profile: Profile of its engine; None for a plain service.
        leads: Requests that run here.
        parts: Requests for which this endpoint reads a part.
        read_until_s: When the reading booked so far is expected to end.
        pace: Slowness against the profile; 1 is the profile's speed.
        answer_s: Usual time of an answer of a plain service.
        failure_share: Share of its answers that were failures of late.
    """

    endpoint: types.Endpoint
    profile: types.EngineProfile | None
    leads: dict[Hashable, Booking] = dataclasses.field(default_factory=dict)
    parts: dict[Hashable, Booking] = dataclasses.field(default_factory=dict)
    read_until_s: float = 0.0
    pace: float = 1.0
    answer_s: float = 0.05
    failure_share: float = 0.0
    _summary: _Summary | None = None

    @property
    def slots(self) -> int:
        """Requests that the endpoint runs at once."""
        return self.profile.slots if self.profile else self.endpoint.slots

    @property
    def free_slots(self) -> int:
        """Slots that no known request holds."""
        return self.slots - len(self.leads)

    @property
    def free_memory_tokens(self) -> int:
        """Engine memory that no known request holds."""
        return self._summarise().free_memory_tokens

    def calculate_pass_s(self) -> float:
        """Returns the time of a pass without reading."""
        return self._summarise().pass_s

    def set_profile(self, profile: types.EngineProfile | None) -> None:
        """Takes over the profile of the engine."""
        if profile != self.profile:
            self.profile = profile
            self._summary = None

    def set_pace(self, pace: float) -> None:
        """Takes over how slow the engine is; 1 is its profile's speed."""
        if pace != self.pace:
            self.pace = pace
            self._summary = None

    def calculate_read_s(self, prompt_tokens: int, engines: int) -> float:
        """Returns the time to read one of several parts of a prompt here."""
        if self.profile is None:
            return 0.0
        return self.pace * engine_model.calculate_read_s(
            self.profile, prompt_tokens, engines
        )

    def calculate_backlog_s(self, now_s: float) -> float:
        """Returns the time until the reading booked so far ends.

        Parts for others go ahead of an engine's own reads, so an engine whose
        own request has no event yet is not done, whatever the estimate says.
        """
        estimated_s = max(self.read_until_s - now_s, 0.0)
        for booking in self._summarise().unread:
            if booking.is_plausible(now_s):
                return max(estimated_s, OWN_READ_S)
        return estimated_s

    def calculate_slack_s(self, now_s: float) -> float:
        """Returns the longest read that holds up no writer past its limit."""
        summary = self._summarise()
        limit_s = summary.pause_limit_s
        for booking in summary.unread:
            left_s = booking.work.on_time_at_s - now_s
            if left_s > 0 and not booking.is_harmed:
                limit_s = min(limit_s, left_s)
        return limit_s - summary.pass_s

    def make_view(self, now_s: float) -> LoadView:
        """Returns what a choice needs to know, worked out once."""
        summary = self._summarise()
        return LoadView(
            load=self,
            writers=len(self.leads),
            context_tokens=summary.context_tokens,
            free_slots=self.free_slots,
            free_memory_tokens=summary.free_memory_tokens,
            has_short=summary.has_short,
            backlog_s=self.calculate_backlog_s(now_s),
            residual_s=summary.pass_s / 2 if self.leads else 0.0,
            slack_s=self.calculate_slack_s(now_s),
        )

    def calculate_harm(self, read_s: float, now_s: float) -> float:
        """Returns the value lost by the pause that such a read causes."""
        if not self.leads:
            return 0.0
        pause_s = self.calculate_pass_s() + read_s
        return sum(
            booking.work.value * LATE_LOSS
            for booking in self.leads.values()
            if _is_newly_late(booking, pause_s, read_s, now_s)
        )

    def book_lead(
        self,
        key: Hashable,
        wanted: messages.PlacementRequest,
        read_s: float,
        memory_tokens: int,
        now_s: float,
    ) -> None:
        """Books a request that runs here."""
        self._book(self.leads, key, wanted, read_s, memory_tokens, now_s)

    def book_part(
        self,
        key: Hashable,
        wanted: messages.PlacementRequest,
        read_s: float,
        memory_tokens: int,
        now_s: float,
    ) -> None:
        """Books a part of a prompt that is read here for another endpoint."""
        self._book(self.parts, key, wanted, read_s, memory_tokens, now_s)

    def note_answer(self, key: Hashable, now_s: float) -> None:
        """Learns the time of a plain service's answer."""
        booking = self.leads.get(key)
        if booking is not None and self.profile is None:
            took_s = now_s - booking.booked_at_s
            self.answer_s += ANSWER_WEIGHT * (took_s - self.answer_s)

    def note_first(self, key: Hashable, now_s: float) -> None:
        """Notes that a request's first event came: its prompt is read."""
        self._summary = None
        lead = self.leads.get(key)
        if lead is not None:
            lead.first_at_s = now_s
        part = self.parts.get(key)
        if part is not None and part.memory_tokens == 0:
            del self.parts[key]
        if all(b.first_at_s for b in self.leads.values()) and not self.parts:
            self.read_until_s = now_s

    def release(self, key: Hashable, now_s: float) -> None:
        """Forgets a request that has ended."""
        self._summary = None
        self.leads.pop(key, None)
        self.parts.pop(key, None)
        if not self.leads and not self.parts:
            self.read_until_s = now_s

    def _summarise(self) -> _Summary:
        if self._summary is None:
            self._summary = self._make_summary()
        return self._summary

    def _make_summary(self) -> _Summary:
        leads = self.leads.values()
        context = sum(b.work.prompt_tokens for b in leads)
        pass_s, free = 0.0, 0
        if self.profile is not None:
            pass_s = self.pace * engine_model.calculate_pass_s(
                self.profile, len(leads), context
            )
            used = sum(b.memory_tokens for b in leads)
            used += sum(b.memory_tokens for b in self.parts.values())
            free = int(self.profile.memory_tokens * MEMORY_SHARE) - used
        return _Summary(
            pass_s=pass_s,
            context_tokens=context,
            free_memory_tokens=free,
            has_short=any(b.whole_read_s <= LONG_READ_S for b in leads),
            pause_limit_s=min(
                (
                    b.work.pause_limit_s
                    for b in leads
                    if b.first_at_s is not None and not b.is_harmed
                ),
                default=math.inf,
            ),
            unread=tuple(b for b in leads if b.first_at_s is None),
        )

    def _book(
        self,
        bookings: dict[Hashable, Booking],
        key: Hashable,
        wanted: messages.PlacementRequest,
        read_s: float,
        memory_tokens: int,
        now_s: float,
    ) -> None:
        self._book_read(read_s, now_s)
        whole_s = self.calculate_read_s(wanted.prompt_tokens, 1)
        bookings[key] = Booking(
            wanted, read_s, whole_s, memory_tokens, now_s, self.read_until_s
        )
        self._summary = None

    def _book_read(self, read_s: float, now_s: float) -> None:
        if self.leads:
            pause_s = (
                self.calculate_pass_s()
                + self.calculate_backlog_s(now_s)
                + read_s
            )
            for booking in self.leads.values():
                if _is_newly_late(booking, pause_s, read_s, now_s):
                    booking.is_harmed = True
        begins_s = max(self.read_until_s, now_s)
        self.read_until_s = begins_s + read_s + READ_MARGIN_S


def _is_newly_late(
    booking: Booking, pause_s: float, read_s: float, now_s: float
) -> bool:
    if booking.is_harmed:
        return False
    if booking.first_at_s is None:
        # Its own reading goes on first; a further read delays its first
        # event only when it is still far from done.
        left_s = booking.work.on_time_at_s - now_s
        return left_s > 0 and pause_s > max(left_s, read_s)
    return pause_s > booking.work.pause_limit_s
