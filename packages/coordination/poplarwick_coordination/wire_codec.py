"""Converts requests and decisions to and from protobuf messages."""

from __future__ import annotations

import enum
import functools
import math
from typing import TypeVar

from google.protobuf import message as protobuf_message

from poplarwick_catalogue import quarantines
from poplarwick_catalogue import rate_limits
from poplarwick_catalogue import types
from poplarwick_coordination import log_events
from poplarwick_coordination import recent_cuts
from poplarwick_core import ids
from poplarwick_core import logs
from poplarwick_peers.wire import placement_pb2
from poplarwick_placement import crash_evidence
from poplarwick_placement import crash_records
from poplarwick_placement import messages

LOGGED_VALUES = 64
"""Most unknown values that are logged, each one once: an instance of a later
version may send one with every request."""

Value = TypeVar("Value", bound=enum.Enum)


def encode_request(
    request_number: int, request: messages.PlacementRequest, now_s: float
) -> placement_pb2.Ask:
    """Encodes a request; monotonic times become remaining durations."""
    return placement_pb2.Ask(
        ask=request_number,
        request=_replace_surrogates(request.request_id),
        service=request.service,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        on_time_s=request.on_time_at_s - now_s,
        deadline_s=request.deadline_at_s - now_s,
        pause_limit_s=request.pause_limit_s,
        priority=request.priority,
        avoided=sorted(request.avoided),
        is_repeat=request.is_retry,
        regions=sorted(request.regions),
        shared_parts=request.shared_parts,
        was_cut_off=request.was_cut_off,
        fingerprint=request.fingerprint or "",
        was_placed=request.was_placed,
        unreachable=sorted(request.unreachable),
        organisation=request.organisation,
        route=request.route,
        output_limit_tokens=request.output_limit_tokens,
    )


def decode_request(
    message: placement_pb2.Ask, now_s: float
) -> messages.PlacementRequest:
    """Decodes a request; remaining durations become monotonic times.

    Raises:
        ValueError: A duration is not a finite number.
    """
    _check_finite(message, "on_time_s", "deadline_s", "pause_limit_s")
    return messages.PlacementRequest(
        request_id=ids.RequestId(message.request),
        service=ids.ServiceId(message.service),
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        on_time_at_s=now_s + message.on_time_s,
        deadline_at_s=now_s + message.deadline_s,
        pause_limit_s=message.pause_limit_s,
        priority=message.priority,
        avoided=frozenset(ids.EndpointId(e) for e in message.avoided),
        is_retry=message.is_repeat,
        regions=frozenset(ids.RegionId(r) for r in message.regions),
        shared_parts=tuple(ids.PromptPartId(p) for p in message.shared_parts),
        was_cut_off=message.was_cut_off,
        fingerprint=_decode_fingerprint(message.fingerprint),
        was_placed=message.was_placed,
        unreachable=frozenset(ids.EndpointId(e) for e in message.unreachable),
        organisation=ids.OrganisationId(message.organisation),
        route=message.route,
        output_limit_tokens=message.output_limit_tokens,
    )


def encode_start(
    start: types.EndpointStart,
) -> placement_pb2.EndpointLeaving:
    """Encodes a start of an endpoint."""
    return placement_pb2.EndpointLeaving(
        endpoint=start.endpoint, started_at_ms=start.started_at_ms
    )


def decode_start(
    message: placement_pb2.EndpointLeaving,
) -> types.EndpointStart:
    """Decodes a start of an endpoint."""
    return types.EndpointStart(
        ids.EndpointId(message.endpoint), message.started_at_ms
    )


def encode_limit(
    start: types.EndpointStart, per_s: float | None
) -> placement_pb2.EndpointLimit:
    """Encodes the rate that a start of an endpoint takes; None for no limit."""
    message = placement_pb2.EndpointLimit(
        endpoint=start.endpoint, started_at_ms=start.started_at_ms
    )
    if per_s is not None:
        message.per_s = per_s
    return message


def apply_limit(
    limits: rate_limits.RateLimits, message: placement_pb2.EndpointLimit
) -> None:
    """Records the rate that another instance tells.

    Raises:
        ValueError: The rate is not a finite number.
    """
    start = types.EndpointStart(
        ids.EndpointId(message.endpoint), message.started_at_ms
    )
    if not message.HasField("per_s"):
        limits.lift(start)
        return
    _check_finite(message, "per_s")
    limits.record(start, message.per_s)


def encode_quarantine(
    quarantine: quarantines.Quarantine,
) -> placement_pb2.Quarantine:
    """Encodes a quarantine."""
    return placement_pb2.Quarantine(
        service=quarantine.service,
        parts=sorted(quarantine.parts),
        generation=quarantine.generation,
        is_lifted=quarantine.is_lifted,
        software_version=quarantine.software_version,
        endpoints=quarantine.endpoints,
        imposed_by=quarantine.imposed_by,
        fingerprint=quarantine.fingerprint or "",
    )


def decode_quarantine(
    message: placement_pb2.Quarantine,
) -> quarantines.Quarantine:
    """Decodes a quarantine.

    Raises:
        ValueError: It names no parts and no request, or both.
    """
    return quarantines.Quarantine(
        ids.ServiceId(message.service),
        frozenset(ids.PromptPartId(part) for part in message.parts),
        message.generation,
        message.is_lifted,
        message.software_version,
        tuple(ids.EndpointId(name) for name in message.endpoints),
        message.imposed_by,
        _decode_fingerprint(message.fingerprint),
    )


def _replace_surrogates(text: str) -> str:
    """Returns a text that can be encoded.

    Bytes of headers that are no UTF-8 are read as lone surrogates.
    """
    return text.encode(errors="replace").decode()


def _check_finite(message: protobuf_message.Message, *names: str) -> None:
    for name in names:
        if not math.isfinite(getattr(message, name)):
            kind = type(message).__name__
            raise ValueError(f"{name} of {kind} is not finite")


def _make_finite(duration_s: float) -> float:
    return duration_s if math.isfinite(duration_s) else 0.0


def _decode_fingerprint(text: str) -> ids.RequestFingerprint | None:
    return ids.RequestFingerprint(text) if text else None


def encode_cut(cut: recent_cuts.RecentCut, now_s: float) -> placement_pb2.Cut:
    """Encodes an answer that was cut off."""
    message = placement_pb2.Cut(
        ask=encode_request(cut.number, cut.request, now_s),
        endpoint=cut.start.endpoint,
        started_at_ms=cut.start.started_at_ms,
        software_version=cut.software_version,
        cut_ago_s=now_s - cut.at_s,
        sent_ago_s=now_s - cut.sent_at_s,
    )
    if cut.written_s is not None:
        message.written_s = cut.written_s
    return message


def decode_cut(
    message: placement_pb2.Cut, now_s: float
) -> recent_cuts.RecentCut:
    """Decodes an answer that was cut off.

    Raises:
        ValueError: A duration is not a finite number.
    """
    _check_finite(message, "written_s", "cut_ago_s", "sent_ago_s")
    return recent_cuts.RecentCut(
        message.ask.ask,
        decode_request(message.ask, now_s),
        types.EndpointStart(
            ids.EndpointId(message.endpoint), message.started_at_ms
        ),
        message.software_version,
        message.written_s if message.HasField("written_s") else None,
        now_s - message.cut_ago_s,
        now_s - message.sent_ago_s,
    )


def encode_earlier_answer(
    scope: crash_records.Scope,
    answer: crash_evidence.SoundAnswer,
    now_s: float,
) -> placement_pb2.EarlierAnswer:
    """Encodes a request that was answered."""
    return placement_pb2.EarlierAnswer(
        service=scope.service,
        software_version=scope.software_version,
        shared_parts=sorted(answer.parts),
        fingerprint=answer.fingerprint or "",
        ago_s=now_s - answer.at_s,
    )


def decode_earlier_answer(
    message: placement_pb2.EarlierAnswer, now_s: float
) -> tuple[crash_records.Scope, crash_evidence.SoundAnswer]:
    """Decodes a request that was answered.

    Raises:
        ValueError: The time since then is not a finite number.
    """
    _check_finite(message, "ago_s")
    return (
        crash_records.Scope(
            ids.ServiceId(message.service), message.software_version
        ),
        crash_evidence.SoundAnswer(
            now_s - message.ago_s,
            frozenset(ids.PromptPartId(p) for p in message.shared_parts),
            _decode_fingerprint(message.fingerprint),
        ),
    )


def encode_ended(
    request_number: int,
    result: messages.Result,
    blamed: str | None,
    answer: messages.AnswerEnd | None,
) -> placement_pb2.Ended:
    """Encodes the end of a request."""
    ended = placement_pb2.Ended(
        ask=request_number,
        result=result.value,
        blamed=_replace_surrogates(blamed or ""),
    )
    if answer is not None:
        ended.answer.is_complete = answer.is_complete
        ended.answer.is_delimited = answer.is_delimited
        ended.answer.events = answer.events
        if answer.written_s is not None:
            ended.answer.written_s = answer.written_s
    return ended


def decode_result(message: placement_pb2.Ended) -> messages.Result:
    """Decodes the result of a request.

    A result of a later version ends the request without consequence for its
    endpoint, so that no allocation outlives the request.
    """
    return _decode_value(message.result, messages.Result.GIVEN_UP)


def decode_answer(
    message: placement_pb2.Ended,
) -> messages.AnswerEnd | None:
    """Decodes how the answer to a request ended; None if it is not told.

    The request has ended, whatever else the message says.
    """
    answer = message.answer
    if not message.HasField("answer") or not math.isfinite(answer.written_s):
        return None
    return messages.AnswerEnd(
        answer.is_complete,
        answer.written_s if answer.HasField("written_s") else None,
        answer.is_delimited,
        answer.events,
    )


def encode_decision(
    request_number: int, decision: messages.Decision
) -> placement_pb2.PlacerMessage:
    """Encodes a decision on a request."""
    message = placement_pb2.PlacerMessage()
    message.decision.ask = request_number
    match decision:
        case messages.Placement():
            message.decision.placement.CopyFrom(_encode_placement(decision))
        case messages.Refusal():
            _encode_refusal(decision, message.decision.refusal)
    return message


def decode_decision(message: placement_pb2.Decision) -> messages.Decision:
    """Decodes a decision.

    A refusal for a reason of a later version remains a refusal, and a duration
    that is no finite number counts as 0; without a decision, the request would
    wait until its deadline.

    Raises:
        ValueError: The message contains no decision.
    """
    match message.WhichOneof("outcome"):
        case "placement":
            return _decode_placement(message.placement)
        case "refusal":
            return _decode_refusal(message.refusal)
        case _:
            raise ValueError(
                f"no decision in the message for request {message.ask}"
            )


def _encode_refusal(
    refusal: messages.Refusal, message: placement_pb2.Refusal
) -> None:
    message.reason = refusal.reason.value
    message.retry_after_s = refusal.retry_after_s
    outlook = refusal.outlook
    if outlook is not None:
        message.served_first = outlook.served_first
        if outlook.capacity_in_s is not None:
            message.capacity_in_s = outlook.capacity_in_s


def _decode_refusal(message: placement_pb2.Refusal) -> messages.Refusal:
    outlook = None
    if message.HasField("served_first"):
        outlook = messages.CapacityOutlook(
            message.served_first,
            _make_finite(message.capacity_in_s)
            if message.HasField("capacity_in_s")
            else None,
        )
    return messages.Refusal(
        _decode_value(message.reason, messages.RefusalReason.NO_TIME),
        _make_finite(message.retry_after_s),
        outlook,
    )


def _encode_placement(placement: messages.Placement) -> placement_pb2.Placement:
    return placement_pb2.Placement(
        endpoint=placement.endpoint,
        address=placement.address,
        helpers=[
            placement_pb2.Helper(
                endpoint=helper.endpoint,
                address=helper.address,
                ticket_tokens=helper.reserved_tokens,
            )
            for helper in placement.helpers
        ],
        expected_first_s=placement.expected_first_s,
        reason=placement.reason,
        expected_tokens=placement.expected_tokens,
        cost_samples=placement.cost_samples,
    )


def _decode_placement(message: placement_pb2.Placement) -> messages.Placement:
    return messages.Placement(
        ids.EndpointId(message.endpoint),
        message.address,
        tuple(
            messages.Helper(
                ids.EndpointId(helper.endpoint),
                helper.address,
                helper.ticket_tokens,
            )
            for helper in message.helpers
        ),
        _make_finite(message.expected_first_s),
        message.reason,
        message.expected_tokens
        if message.HasField("expected_tokens")
        else None,
        message.cost_samples if message.HasField("cost_samples") else None,
    )


def _decode_value(text: str, fallback: Value) -> Value:
    """Returns the member of an enumeration; `fallback` for unknown texts."""
    try:
        return type(fallback)(text)
    except ValueError:
        _log_unknown(type(fallback).__name__, text, fallback.value)
        return fallback


@functools.lru_cache(LOGGED_VALUES)
def _log_unknown(kind: str, text: str, assumed: str) -> None:
    logs.log(
        log_events.UnknownValueReceived(kind=kind, value=text, assumed=assumed)
    )
