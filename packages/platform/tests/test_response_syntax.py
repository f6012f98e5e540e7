"""What is checked of the bytes of a response."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poplarwick_platform import response_syntax

OK = b"HTTP/1.1 200 OK\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"

SOUND = [
    OK + b"Content-Length: 5\r\n\r\nhello",
    OK + b"\r\nany bytes \x00\r\n \xff",
    CONTINUE * 2 + OK + b"Content-Length: 0\r\n\r\n",
    CHUNKED + b"5\r\nhello\r\n0\r\n\r\n",
    CHUNKED + b"05;a=1\r\nhello\r\nA ;b\r\n0123456789\r\n000\r\nX-T: 1\r\n\r\n",
]
BROKEN_CHUNKS = [
    b"5\nhello\r\n0\r\n\r\n",
    b"5\r\nhello\n0\r\n\r\n",
    b"5\r\nhello\r\n0\n\r\n",
    b"5\r\nhello\r\n0\r\n\n",
    b"5\r\nhello!\r\n0\r\n\r\n",
    b"5 \r\nhello\r\n0\r\n\r\n",
    b"0x5\r\nhello\r\n0\r\n\r\n",
    b"-5\r\nhello\r\n0\r\n\r\n",
    b"\r\nhello\r\n0\r\n\r\n",
    b"5;a\x01\r\nhello\r\n0\r\n\r\n",
    b"5\r\nhello\r\n0\r\nX T: 1\r\n\r\n",
    b"5\r\nhello\r\n0\r\nX-T: a\x01\r\n\r\n",
    b"5\r\nhello\r\n0\r\nX-T: 1\r\n more\r\n\r\n",
    b"1" * 16 + b"\r\n",
]
ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "field": (OK + b"X-Long: ", b"x"),
    "fields": (OK, b"X-Many: 1\r\n"),
    "interim responses": (b"", CONTINUE),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"5;", b"x"),
    "end of a chunk": (CHUNKED + b"5\r\nhello", b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"X-Trailer: 1\r\n"),
    "no response": (b"", b"\x00\xff"),
}


def feed_all(parts):
    check = response_syntax.ResponseCheck()
    return b"".join(check.feed(part) for part in parts)


@given(st.sampled_from(SOUND), st.data())
def test_bytes_of_a_response_are_passed_on_however_they_are_split(
    response, data
):
    cuts = data.draw(st.lists(st.integers(0, len(response)), max_size=8))
    bounds = [0, *sorted(cuts), len(response)]
    parts = [response[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    assert feed_all(parts) == response


@pytest.mark.parametrize("body", BROKEN_CHUNKS)
def test_broken_chunks_are_refused_however_they_are_split(body):
    response = CHUNKED + body
    for parts in (
        [response],
        [CHUNKED, body],
        [response[i : i + 1] for i in range(len(response))],
    ):
        with pytest.raises(response_syntax.ResponseSyntaxError):
            feed_all(parts)


@pytest.mark.parametrize("status", [204, 304])
def test_response_without_a_body_has_no_chunks(status):
    head = CHUNKED.replace(b"200", b"%d" % status)
    assert feed_all([head]) == head


def test_response_to_head_has_no_chunks():
    check = response_syntax.ResponseCheck(has_body=False)
    assert check.feed(CHUNKED) == CHUNKED


@pytest.mark.parametrize("begin, part", ENDLESS.values(), ids=ENDLESS)
def test_bytes_without_end_are_refused_in_bounded_memory(begin, part):
    check = response_syntax.ResponseCheck()
    passed = len(check.feed(begin))
    with pytest.raises(response_syntax.ResponseSyntaxError):
        for _ in range(response_syntax.MAX_HEAD_BYTES):
            passed += len(check.feed(part))
    assert passed <= len(begin) + response_syntax.MAX_HEAD_BYTES
