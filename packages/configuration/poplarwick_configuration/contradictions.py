"""Finds limits of a document that contradict each other."""

from __future__ import annotations

from collections.abc import Iterator

from poplarwick_configuration import document
from poplarwick_core import findings


def find_contradictions(
    parsed: document.Document,
) -> Iterator[findings.Finding]:
    """Yields limits that another limit makes impossible or useless."""
    for index, model in enumerate(parsed.models):
        yield from _check_model(f"$.models[{index}]", model)
    for index, service in enumerate(parsed.services):
        if service.cold_start.concurrent > service.max_concurrent:
            yield findings.make_warning(
                findings.Rule.COLD_ABOVE_WARM,
                f"$.services[{index}].cold_start.concurrent",
                f"found {service.cold_start.concurrent}; above "
                f"max_concurrent, which is {service.max_concurrent}, so it "
                "does not limit a cold endpoint",
            )


def _check_model(
    base: str, model: document.Model
) -> Iterator[findings.Finding]:
    if model.cold_start.tokens > model.memory_tokens:
        yield findings.make_warning(
            findings.Rule.COLD_ABOVE_WARM,
            f"{base}.cold_start.tokens",
            f"found {model.cold_start.tokens}; above memory_tokens, which is "
            f"{model.memory_tokens}, so it does not limit a cold engine",
        )
    prefill_s = model.context_tokens / model.prefill_tokens_per_s
    if prefill_s > model.max_timeout_s and not model.spreads_prompts:
        yield findings.make_error(
            findings.Rule.TIMEOUT_TOO_SHORT,
            f"{base}.max_timeout_s",
            f"found {model.max_timeout_s:g}; a prompt of context_tokens of "
            f"which nothing is cached takes {prefill_s:.1f} s at "
            "prefill_tokens_per_s, so no time-out of a caller is long enough",
        )
