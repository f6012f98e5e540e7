"""Which requests count as copies of one request."""

from __future__ import annotations

import pytest

from poplarwick_core import ids
from poplarwick_forwarding import fingerprints

BODY = b"a body that arrives in pieces"


def make_fingerprint(
    *,
    organisation="org",
    host="h.example",
    method="POST",
    target="/notes/7?all=1",
    chunks=(BODY,),
):
    digest = fingerprints.BodyDigest()
    for chunk in chunks:
        digest.add(chunk)
    return digest.make_fingerprint(
        organisation and ids.OrganisationId(organisation), host, method, target
    )


@pytest.mark.parametrize(
    "copy",
    [
        {"chunks": (BODY[:3], b"", BODY[3:])},
        {"chunks": [BODY[i : i + 1] for i in range(len(BODY))]},
        {"host": "H.Example"},
    ],
)
def test_copies_have_the_same_fingerprint(copy):
    assert make_fingerprint(**copy) == make_fingerprint()


@pytest.mark.parametrize(
    "other",
    [
        {"organisation": "another"},
        {"organisation": None},
        {"host": "other.example"},
        {"method": "PUT"},
        {"target": "/notes/7"},
        {"target": "/Notes/7?all=1"},
        {"chunks": (BODY + b"!",)},
        {"chunks": ()},
        {"organisation": "o" * 1_000},
    ],
)
def test_other_requests_have_other_fingerprints(other):
    assert make_fingerprint(**other) != make_fingerprint()
