"""Content-defined chunking of a document's text into sections.

Sections are stored by digest. Section boundaries depend only on the content
of lines, so an edit changes the section that contains it and leaves the other
sections unchanged.
"""

from __future__ import annotations

import hashlib

import xxhash

MIN_SECTION_BYTES = 2_048
MAX_SECTION_BYTES = 65_536
LINES_PER_BOUNDARY = 64
DIGEST_BYTES = 16


def split_text(text: str) -> tuple[bytes, ...]:
    """Splits a text into sections whose concatenation is the text."""
    sections: list[bytes] = []
    current = bytearray()
    for line in text.encode().splitlines(keepends=True):
        current += line
        while len(current) >= MAX_SECTION_BYTES:
            sections.append(bytes(current[:MAX_SECTION_BYTES]))
            del current[:MAX_SECTION_BYTES]
        if len(current) >= MIN_SECTION_BYTES and _is_boundary(line):
            sections.append(bytes(current))
            current.clear()
    if current:
        sections.append(bytes(current))
    return tuple(sections)


def digest_bytes(data: bytes) -> str:
    """Returns the hexadecimal BLAKE2b digest of a section or text."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def _is_boundary(line: bytes) -> bool:
    return xxhash.xxh64_intdigest(line) % LINES_PER_BOUNDARY == 0
