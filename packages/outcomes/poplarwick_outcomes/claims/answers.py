"""Answers kept in memory for replay."""

from __future__ import annotations

from poplarwick_outcomes.claims import records
from poplarwick_outcomes.claims import segments

MAX_STORED_BYTES = 16_384
MAX_CACHED_BYTES = 262_144


class AnswerCache:
    """The latest answers of one shard, bounded in bytes.

    Attributes:
        size_bytes: Size of all bodies held.
    """

    def __init__(self) -> None:
        self.size_bytes = 0
        self._answers: dict[bytes, records.StoredAnswer] = {}

    def add(
        self, record: records.Record, answer: records.Answer
    ) -> records.StoredAnswer | None:
        """Keeps an answer.

        Returns:
            The form to store, or None if the answer is too large to store.
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
        """Keeps an answer that was stored before."""
        self.drop(stored.key)
        self._answers[stored.key] = stored
        self.size_bytes += len(stored.answer.body)
        while self.size_bytes > segments.MAX_ANSWERS_BYTES:
            self.drop(next(iter(self._answers)))

    def find(self, record: records.Record) -> records.Answer | None:
        """Returns the answer to an attempt, or None if it is not kept."""
        stored = self._answers.get(record.key)
        if stored is None or stored.nonce != record.nonce:
            return None
        return stored.answer

    def drop(self, key: bytes) -> None:
        """Forgets the answer to a key, if there is one."""
        stored = self._answers.pop(key, None)
        if stored is not None:
            self.size_bytes -= len(stored.answer.body)
