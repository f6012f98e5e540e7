"""Capacity of an endpoint and the cost of a request."""

from __future__ import annotations

import dataclasses
import enum

from poplarwick_configuration import document
from poplarwick_core import ids

SHORT_PREFILL_S = 0.5
LONG_PREFILL_S = 5.0
SERVICE_COST_S = 0.05


class LengthClass(enum.IntEnum):
    """Classes of requests by prefill time.

    SHORT is below `SHORT_PREFILL_S`, LONG at or above `LONG_PREFILL_S`.
    """

    SHORT = 0
    MEDIUM = 1
    LONG = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Model or plain service of a request; exactly one of the ids is set.

    Attributes:
        model: Model, for completion requests.
        service: Plain service, for service calls.
    """

    model: ids.ModelId | None = None
    service: ids.ServiceId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Estimated cost of one request.

    Attributes:
        prompt_tokens: Length of the prompt, in tokens.
        memory_tokens: KV-cache memory of prompt and output, in tokens.
        prefill_s: Prefill time on a warm engine.
        decode_s: Decode time of the longest allowed output.
        engine_s: Engine time that fair shares charge; the decode time is
            divided by the batch size.
        length_class: Length class by prefill time.
    """

    prompt_tokens: int
    memory_tokens: int
    prefill_s: float
    decode_s: float
    engine_s: float
    length_class: LengthClass


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity of one endpoint.

    Attributes:
        max_batch: Maximum number of requests in progress at a warm endpoint.
        memory_tokens: KV-cache memory in tokens; 0 for plain services.
        prefill_tokens_per_s: Prefill rate; 0 for plain services.
        decode_tokens_per_s: Decode rate of one stream; 0 for plain services.
        context_tokens: Maximum prompt plus output; 0 for plain services.
        spreads_prompts: Whether several engines can share one prompt.
        cold_start: Limits during a cold start.
    """

    max_batch: int
    memory_tokens: int
    prefill_tokens_per_s: int
    decode_tokens_per_s: int
    context_tokens: int
    spreads_prompts: bool
    cold_start: document.ColdStart

    @property
    def is_service(self) -> bool:
        """Whether the endpoint is a plain service."""
        return self.memory_tokens == 0

    def estimate_decode_s(self, output_tokens: int) -> float:
        """Returns the decode time of an output when it runs alone."""
        if self.is_service:
            return 0.0
        return output_tokens / self.decode_tokens_per_s

    def estimate(self, prompt_tokens: int, output_tokens: int) -> Cost:
        """Returns the cost of a request of the given size."""
        if self.is_service:
            return Cost(0, 0, 0.0, 0.0, SERVICE_COST_S, LengthClass.SHORT)
        prefill_s = prompt_tokens / self.prefill_tokens_per_s
        decode_s = self.estimate_decode_s(output_tokens)
        return Cost(
            prompt_tokens=prompt_tokens,
            memory_tokens=prompt_tokens + output_tokens,
            prefill_s=prefill_s,
            decode_s=decode_s,
            engine_s=prefill_s + decode_s / self.max_batch,
            length_class=_classify(prefill_s),
        )


def make_capacity(
    source: document.Model | document.Service,
) -> Capacity:
    """Returns the capacity configured for a model or service."""
    match source:
        case document.Model():
            return Capacity(
                max_batch=source.max_batch,
                memory_tokens=source.memory_tokens,
                prefill_tokens_per_s=source.prefill_tokens_per_s,
                decode_tokens_per_s=source.decode_tokens_per_s,
                context_tokens=source.context_tokens,
                spreads_prompts=source.spreads_prompts,
                cold_start=source.cold_start,
            )
        case document.Service():
            return Capacity(
                max_batch=source.max_concurrent,
                memory_tokens=0,
                prefill_tokens_per_s=0,
                decode_tokens_per_s=0,
                context_tokens=0,
                spreads_prompts=False,
                cold_start=source.cold_start,
            )


def make_adopted_cost(memory_tokens: int) -> Cost:
    """Returns the cost of an adopted stream; only its memory is known."""
    return Cost(memory_tokens, memory_tokens, 0.0, 0.0, 0.0, LengthClass.SHORT)


def find_capacity(view: document.View, target: Target) -> Capacity | None:
    """Returns the capacity of an endpoint of a target, or None if unknown."""
    source: document.Model | document.Service | None = None
    if target.model is not None:
        source = view.find_model(target.model)
    elif target.service is not None:
        source = view.find_service(target.service)
    return None if source is None else make_capacity(source)


def _classify(prefill_s: float) -> LengthClass:
    if prefill_s < SHORT_PREFILL_S:
        return LengthClass.SHORT
    if prefill_s < LONG_PREFILL_S:
        return LengthClass.MEDIUM
    return LengthClass.LONG
