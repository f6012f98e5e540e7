"""What one warm endpoint of a model or plain service carries."""

from __future__ import annotations

import dataclasses
import enum

from poplarwick_configuration import document
from poplarwick_core import ids

SHORT_PREFILL_S = 0.5
LONG_PREFILL_S = 5.0
SERVICE_COST_S = 0.05


class LengthClass(enum.IntEnum):
    """Classes of requests by the time that their prefill takes."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """What a request asks for; exactly one of both ids is set.

    Attributes:
        model: Model, for completions.
        service: Plain service, for calls.
    """

    model: ids.ModelId | None = None
    service: ids.ServiceId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Estimated need of one request.

    Attributes:
        prompt_tokens: Length of the prompt.
        memory_tokens: KV cache of prompt and output.
        prefill_s: Time that a warm engine needs for the prompt.
        decode_s: Time that the output takes at most.
        engine_s: Share of one engine's time, used for fair shares.
        length_class: Class by prefill time.
    """

    prompt_tokens: int
    memory_tokens: int
    prefill_s: float
    decode_s: float
    engine_s: float
    length_class: LengthClass


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What one endpoint carries.

    Attributes:
        max_batch: Requests in progress at one warm endpoint.
        memory_tokens: KV cache in tokens; 0 for plain services.
        prefill_tokens_per_s: Prefill rate; 0 for plain services.
        decode_tokens_per_s: Decode rate of one stream.
        context_tokens: Longest prompt plus output; 0 for plain services.
        spreads_prompts: Whether several engines can share one prompt.
        cold_start: What a cold endpoint carries.
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

    def estimate_decode(self, output_tokens: int) -> float:
        """Returns the seconds that an output takes alone."""
        if self.is_service:
            return 0.0
        return output_tokens / self.decode_tokens_per_s

    def estimate(self, prompt_tokens: int, output_tokens: int) -> Cost:
        """Returns the need of a request of the given size."""
        if self.is_service:
            return Cost(0, 0, 0.0, 0.0, SERVICE_COST_S, LengthClass.SHORT)
        prefill_s = prompt_tokens / self.prefill_tokens_per_s
        decode_s = self.estimate_decode(output_tokens)
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
    """Returns the capacity that the document states."""
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
    """Returns the need of a running stream, of which only memory is known."""
    return Cost(memory_tokens, memory_tokens, 0.0, 0.0, 0.0, LengthClass.SHORT)


def find_capacity(view: document.View, target: Target) -> Capacity | None:
    """Returns the capacity of one endpoint of a target, if it exists."""
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
