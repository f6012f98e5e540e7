"""Tests for reading JSON with comments."""

import msgspec
import pytest

from poplarwick_core import errors
from poplarwick_core import jsonc


class Item(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    weight: int


def test_comments_and_trailing_commas_are_accepted():
    text = '// head\n{"name": "a", /* mid */ "weight": 3,}'
    assert jsonc.decode(text, Item, "x.json") == Item("a", 3)


def test_wrong_type_names_source_and_path():
    with pytest.raises(errors.DocumentError) as caught:
        jsonc.decode('{"name": "a", "weight": "3"}', Item, "x.json")
    assert caught.value.path == "$.weight"
    assert caught.value.source == "x.json"


def test_unknown_field_is_refused():
    with pytest.raises(errors.DocumentError, match="wieght"):
        jsonc.decode('{"name": "a", "wieght": 3}', Item, "x.json")


def test_text_that_is_not_json_is_refused():
    with pytest.raises(errors.DocumentError, match="not valid JSON"):
        jsonc.decode('{"name": ', Item, "x.json")
