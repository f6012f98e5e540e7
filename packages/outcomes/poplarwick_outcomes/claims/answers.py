"""In-memory cache of answers for replay."""

from __future__ import annotations

from poplarwick_outcomes.claims import records
from poplarwick_outcomes.claims import segments

MAX_STORED_BYTES = 16_384
MAX_CACHED_BYTES = 262_144


class AnswerCache:
    """Cache of the latest answers of one shard, bounded by size.

    Attributes:
        size_bytes: Total size of the cached bodies.
    """

    def __init__(self) -> None:
        self.size_bytes = 0
        self._answers: dict[bytes, records.StoredAnswer] = {}

    def add(
        self, record: records.Record, answer: records.Answer
    ) -> records.StoredAnswer | None:
        """Caches an answer unless it exceeds `MAX_CACHED_BYTES`.

        Args:
            record: Record of the attempt that was answered.
            answer: Answer to cache.

        Returns:
            The record to write to the key-value service, or None if the
            answer exceeds `MAX_STORED_BYTES`.
        """
        size = len(answer.body)
        if size > MAX_CACHED_BYTES:
            return None
        stored = records.StoredAnswer(
            record.key, record.key_time_ms, record.nonce, answer
        )
        self.restore(stored)
        return stored if size <= MAX_STORED_BYTES else None

    def restore(self, stored: records.StoredAnswer) -> None:
        """Caches a stored answer and evicts the oldest ones if full."""
        self.drop(stored.key)
        self._answers[stored.key] = stored
        self.size_bytes += len(stored.answer.body)
        while self.size_bytes > segments.MAX_ANSWERS_BYTES:
            self.drop(next(iter(self._answers)))

    def find(self, record: records.Record) -> records.Answer | None:
        """Returns the answer to an attempt, or None if it is not cached."""
        stored = self._answers.get(record.key)
        if stored is None or stored.nonce != record.nonce:
            return None
        return stored.answer

    def drop(self, key: bytes) -> None:
        """Removes the answer to a key, if it is cached."""
        stored = self._answers.pop(key, None)
        if stored is not None:
            self.size_bytes -= len(stored.answer.body)
