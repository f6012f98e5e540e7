"""Times of a model engine, from its profile.

An engine works in passes. Each token step takes a base time and a little for
each writing request; up to a chunk of prompt tokens is read in each step; a
pass with writers has `stride` steps and ends with one event for each writer.
"""

from __future__ import annotations

from poplarwick_catalogue import types


def calculate_read_s(
    profile: types.EngineProfile, prompt_tokens: int, engines: int = 1
) -> float:
    """Returns the time to read a prompt in even parts on several engines.

    Each part has its share of the pairs of the whole prompt.
    """
    pairs = prompt_tokens * prompt_tokens / 2
    whole_s = (
        prompt_tokens / profile.prefill_tokens_per_s
        + pairs * profile.prefill_pair_s
    )
    return whole_s / engines


def calculate_pass_s(
    profile: types.EngineProfile, writers: int, context_tokens: int
) -> float:
    """Returns the time of a pass that reads nothing.

    Args:
        profile: Profile of the engine.
        writers: Requests that write.
        context_tokens: Sum of their contexts.
    """
    step_s = (
        profile.step_s
        + profile.step_per_sequence_s * writers
        + profile.step_per_context_token_s * context_tokens
    )
    return profile.stride * step_s


def calculate_write_s(
    profile: types.EngineProfile, output_tokens: int, pass_s: float
) -> float:
    """Returns the time from the first event to the last."""
    passes = max(output_tokens / profile.stride - 1, 0)
    return passes * pass_s
