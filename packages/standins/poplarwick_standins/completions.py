"""Deterministic completions of the stand-in engine.

A completion is derived from its prompt, so that a checker can recompute it.
"""

from __future__ import annotations

from typing import Any

import xxhash

BYTES_PER_TOKEN = 4

_CONSONANTS = "bdfgklmnprstvz"
_VOWELS = "aeiou"
_SYLLABLES = tuple(c + v for c in _CONSONANTS for v in _VOWELS)


def read_prompt(body: dict[str, Any]) -> str:
    """Returns the prompt text of a completion or chat-completion request."""
    if "messages" not in body:
        prompt = body.get("prompt", "")
        return "".join(prompt) if isinstance(prompt, list) else str(prompt)
    return "\n".join(
        f"{message.get('role')}: {_read_content(message.get('content'))}"
        for message in body["messages"]
    )


def digest_prompt(prompt: str) -> str:
    """Returns the prompt digest from which the completion is derived."""
    return xxhash.xxh3_64_hexdigest(prompt.encode())


def estimate_tokens(prompt: str) -> int:
    """Returns the length of a prompt in tokens, at least 1."""
    return max(1, len(prompt.encode()) // BYTES_PER_TOKEN)


def make_token(digest: str, index: int) -> str:
    """Returns one token of the completion of a prompt.

    Args:
        digest: Digest of the prompt.
        index: Zero-based position of the token in the completion.
    """
    number = xxhash.xxh3_64_intdigest(f"{digest}:{index}".encode())
    first, number = number % len(_SYLLABLES), number // len(_SYLLABLES)
    second = number % len(_SYLLABLES)
    return f" {_SYLLABLES[first]}{_SYLLABLES[second]}"


def make_text(digest: str, start: int, end: int) -> str:
    """Returns the text of the tokens from `start` to `end`, exclusive."""
    return "".join(make_token(digest, i) for i in range(start, end))


def make_completion(body: dict[str, Any], tokens: int) -> str:
    """Returns the completion of a request.

    Args:
        body: Body of the completion or chat-completion request.
        tokens: Length of the completion in tokens.
    """
    return make_text(digest_prompt(read_prompt(body)), 0, tokens)


def _read_content(content: Any) -> str:
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content)
    return "" if content is None else str(content)
