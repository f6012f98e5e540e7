"""Timing model of an inference engine, computed from its profile.

An engine runs in iterations. Each token step takes a base time plus a small
time for each decoding request, and prefills up to one chunk of prompt tokens.
An iteration with decoding requests has `stride` steps and ends with one event
for each of them.
"""

from __future__ import annotations

from poplarwick_catalogue import types


def calculate_prefill_s(
    profile: types.EngineProfile, prompt_tokens: int, engines: int = 1
) -> float:
    """Returns the time to prefill a prompt split evenly over several engines.

    Each part takes an equal share of the attention pairs of the whole prompt.
    """
    pairs = prompt_tokens * prompt_tokens / 2
    full_prefill_s = (
        prompt_tokens / profile.prefill_tokens_per_s
        + pairs * profile.prefill_pair_s
    )
    return full_prefill_s / engines


def calculate_iteration_s(
    profile: types.EngineProfile, decoding_count: int, context_tokens: int
) -> float:
    """Returns the time of an iteration without prefill.

    Args:
        profile: Profile of the engine.
        decoding_count: Number of decoding requests.
        context_tokens: Sum of the context lengths of these requests.
    """
    step_s = (
        profile.step_s
        + profile.step_per_sequence_s * decoding_count
        + profile.step_per_context_token_s * context_tokens
    )
    return profile.stride * step_s


def calculate_decode_s(
    profile: types.EngineProfile, output_tokens: int, iteration_s: float
) -> float:
    """Returns the time from the first event to the last one."""
    iterations = max(output_tokens / profile.stride - 1, 0)
    return iterations * iteration_s


def calculate_slot_s(
    profile: types.EngineProfile, output_tokens: int, iteration_s: float
) -> float:
    """Returns how long a request holds its slot from its first event on.

    An output of a single event holds it to the end of an iteration.
    """
    decode_s = calculate_decode_s(profile, output_tokens, iteration_s)
    return max(decode_s, iteration_s)
