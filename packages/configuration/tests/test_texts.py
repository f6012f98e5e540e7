"""Tests for comparing, promoting and editing document texts."""

import hypothesis
import pytest
import texts
from hypothesis import strategies

from poplarwick_configuration import check
from poplarwick_configuration import difference
from poplarwick_configuration import document
from poplarwick_configuration import edit
from poplarwick_configuration import promotion
from poplarwick_core import jsonc

KEY = document.ApiKey("new", "1" * 64)
COMMENTED = """{
  "environment": "trial",
  "organisations": [ // head
    {"id": "soap", "keys": [/* none */], "weight": 3}, {"id": "lye", "keys": [
      {"id": "k1", "sha256": "%s"}, // first
    ]},
  ],
  // Tuned in May.
  "models": [{"id": "lm", "context_tokens": 5, "memory_tokens": 9}],
  "domains": [{"id": "d1", "region": "r1"}],
  "endpoints": [
    {"id": "e1", "address": "trial:1", "domain": "d1", "model": "lm"},
  ],
}
""" % ("2" * 64)


def decode(text):
    assert check.check_document(text, "x.jsonc") == ()
    return jsonc.decode(text, document.Document, "x.jsonc")


def find(parsed, organisation):
    return next(o for o in parsed.organisations if o.id == organisation)


def test_differences_identify_items_by_id():
    before = texts.make_text(weight=1)
    after = texts.make_text(
        weight=2,
        domains=[{"id": "d0", "region": "r"}, {"id": "d1", "region": "r1"}],
    )
    assert [str(d) for d in difference.compare_texts(before, after)] == [
        "~ organisations[soap].weight: 1 -> 2",
        '+ domains[d0]: {"id":"d0","region":"r","in_service":true}',
    ]


def test_comments_and_explicit_defaults_are_not_differences():
    before = texts.make_text(weight=1)
    after = "/* other */" + before.replace('"weight": 1', '"weight": /**/ 1')
    assert difference.compare_texts(before, after) == ()


def test_promotion_keeps_endpoints_and_keys_of_the_target():
    target = texts.make_text(
        environment="production",
        organisations=[
            {"id": "soap", "keys": [{"id": "p", "sha256": "9" * 64}]}
        ],
        services=[],
        endpoints=[
            {"id": "e9", "address": "prod:1", "domain": "d1", "model": "lm"}
        ],
    )
    merged = promotion.merge_texts(COMMENTED, target)
    parsed = decode(merged)
    assert parsed.environment == "production"
    assert [e.address for e in parsed.endpoints] == ["prod:1"]
    assert parsed.models[0].context_tokens == 5
    assert find(parsed, "soap").weight == 3
    assert [k.id for k in find(parsed, "soap").keys] == ["p"]
    assert find(parsed, "lye").keys == ()
    assert "// head" in merged


def test_promotion_adds_a_field_missing_in_the_target():
    target = """{"environment": "production", "organisations": [],
    "domains": [{"id": "d", "region": "r"}],
    "endpoints": [{"id": "e", "address": "p:1", "domain": "d", "model": "lm"}]}
    """
    parsed = decode(promotion.merge_texts(COMMENTED, target))
    assert [m.id for m in parsed.models] == ["lm"]


def test_adding_and_replacing_keys_preserves_comments():
    text = edit.add_key(COMMENTED, "soap", KEY)
    text = edit.add_key(text, "lye", document.ApiKey("k2", "3" * 64))
    ended = document.ApiKey("k1", "2" * 64, expires_s=5.0)
    text = edit.replace_key(text, "lye", ended)
    parsed = decode(text)
    assert find(parsed, "soap").keys == (KEY,)
    assert [k.id for k in find(parsed, "lye").keys] == ["k1", "k2"]
    assert find(parsed, "lye").keys[0].expires_s == 5.0
    for comment in ("// head", "/* none */", "// first", "// Tuned in May."):
        assert comment in text


def test_edit_with_unknown_id_or_duplicate_key_is_rejected():
    with pytest.raises(edit.EditError, match="no organisation"):
        edit.add_key(COMMENTED, "nobody", KEY)
    with pytest.raises(edit.EditError, match="no key"):
        edit.replace_key(COMMENTED, "soap", KEY)
    with pytest.raises(edit.EditError, match="already"):
        edit.add_key(COMMENTED, "lye", document.ApiKey("k1", "4" * 64))


@pytest.mark.parametrize("tail", [" // hidden", " /* */ //", "\n//"])
def test_trailing_comment_in_section_does_not_hide_next_section(tail):
    section = '{"id": "soap", "keys": [], "weight": 7}' + tail
    text = edit.replace_organisation(COMMENTED, "soap", section)
    parsed = decode(text)
    assert [o.id for o in parsed.organisations] == ["soap", "lye"]
    assert find(parsed, "soap").weight == 7


@hypothesis.given(strategies.data())
def test_mutated_document_is_valid_or_has_problems(data):
    position = data.draw(strategies.integers(0, len(COMMENTED)))
    length = data.draw(strategies.integers(0, 12))
    insert = data.draw(
        strategies.text(
            strategies.sampled_from('{}[]",:/*\n 01aé-'), max_size=6
        )
    )
    text = COMMENTED[:position] + insert + COMMENTED[position + length :]
    for problem in check.check_document(text, "x.jsonc"):
        assert problem.message
        assert problem.line is None or 1 <= problem.line
