"""Tests for reading JSON with comments."""

import json
import typing

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from poplarwick_core import errors
from poplarwick_core import jsonc


class Item(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    weight: int


def test_comments_and_trailing_commas_are_accepted():
    text = '// head\n{"name": "a", /* mid */ "weight": 3,}'
    assert jsonc.decode(text, Item, "x.json") == Item("a", 3)


def test_type_error_names_source_and_path():
    with pytest.raises(errors.DocumentError) as caught:
        jsonc.decode('{"name": "a", "weight": "3"}', Item, "x.json")
    assert caught.value.path == "$.weight"
    assert caught.value.source == "x.json"


def test_unknown_field_is_refused():
    with pytest.raises(errors.DocumentError, match="wieght"):
        jsonc.decode('{"name": "a", "wieght": 3}', Item, "x.json")


def test_invalid_json_is_refused():
    with pytest.raises(errors.DocumentError, match="not valid JSON"):
        jsonc.decode('{"name": ', Item, "x.json")


class Group(msgspec.Struct, forbid_unknown_fields=True):
    items: tuple[Item, ...]
    spare: Item | None = None


@pytest.mark.parametrize(
    ("text", "path", "line", "problem"),
    [
        (
            '{"items": [\n{"name": "a", "weight": 1,\n"wieght": 2}]}',
            "$.items[0]",
            3,
            "found the unknown field `wieght`; allowed: name, weight",
        ),
        (
            '{"items": [],\n"spare": {"name": "a", "weight": 1, "x": 2}}',
            "$.spare",
            2,
            "found the unknown field `x`; allowed: name, weight",
        ),
        (
            '{"items": [\n\n{"name": "a",\n"weight": "much"}]}',
            "$.items[0].weight",
            4,
            "found `'much'`; allowed: `int`",
        ),
        (
            '{"items": [\n{"name": "a"}]}',
            "$.items[0]",
            2,
            "the required field `weight` is missing",
        ),
        (
            '{"items": [],\n/* two\nlines */ "items": []}',
            "$.items",
            3,
            "duplicate field, first defined on line 1",
        ),
        (
            '{"items": [\n}',
            "$",
            2,
            "not valid JSON with comments: Expected JSON5Value near 13",
        ),
    ],
)
def test_error_names_line_path_and_allowed_values(text, path, line, problem):
    with pytest.raises(errors.DocumentError) as caught:
        jsonc.decode(text, Group, "x.json")
    error = caught.value
    assert (error.path, error.line) == (path, line)
    assert error.problem.startswith(problem)
    assert str(error).startswith(f"x.json:{line}: {path}: ")


class Secret(msgspec.Struct):
    sha256: typing.Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


def test_secret_entered_as_digest_is_not_shown():
    with pytest.raises(errors.DocumentError) as caught:
        jsonc.decode('{"sha256": "hush"}', Secret, "x.json")
    assert "hush" not in str(caught.value)
    assert "found 4 characters" in caught.value.problem


KEYS = strategies.text(
    strategies.characters(exclude_categories=["Cs"]), max_size=6
)
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**6), 10**6)
    | KEYS,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(KEYS, inner, max_size=4)
    ),
    max_leaves=20,
)
SPACES = strategies.sampled_from(
    ["", " ", "\n", "\t\n ", '// c " } :\n', "/* ] \n , */", "\r\n"]
)


class Writer:
    """Writes values with comments and records the line of each value."""

    def __init__(self, draw):
        self.draw = draw
        self.text = ""
        self.lines = {}

    def write(self, value, path="$"):
        self.text += self.draw(SPACES)
        self.lines[path] = self.text.count("\n") + 1
        if isinstance(value, dict):
            self.text += "{"
            for key, inner in value.items():
                self.text += self.draw(SPACES) + json.dumps(key)
                self.text += self.draw(SPACES) + ":"
                self.write(inner, f"{path}.{key}")
                self.text += self.draw(SPACES) + ","
            self.text += "}"
        elif isinstance(value, list):
            self.text += "["
            for index, inner in enumerate(value):
                self.write(inner, f"{path}[{index}]")
                self.text += self.draw(SPACES) + ","
            self.text += "]"
        else:
            self.text += json.dumps(value)
        self.text += self.draw(SPACES)


@hypothesis.given(VALUES, strategies.data())
def test_positions_are_correct_among_comments(value, data):
    writer = Writer(data.draw)
    writer.write(value)
    assert jsonc.parse(writer.text, "x.json") == value
    positions = jsonc.find_positions(writer.text)
    assert positions.lines == writer.lines
    span = positions.spans["$"]
    assert jsonc.parse(writer.text[span.start : span.end], "x") == value
    if isinstance(value, list):
        for index, inner in enumerate(value):
            span = positions.spans[f"$[{index}]"]
            part = writer.text[span.start : span.end]
            assert jsonc.parse(part, "x") == inner
    assert positions.duplicates == ()


@hypothesis.given(
    strategies.text()
    | strategies.text(strategies.sampled_from("{}[]:,\"'/*\\\n ae1-"))
)
def test_any_text_yields_a_value_or_a_document_error(text):
    try:
        value = jsonc.parse(text, "x.json")
    except errors.DocumentError as error:
        assert error.line is None or error.line >= 1
    else:
        lines = jsonc.find_positions(text).lines
        assert "$" in lines, (value, lines)


def test_deep_nesting_is_refused():
    with pytest.raises(errors.DocumentError, match="nesting"):
        jsonc.parse("[" * 100_000, "x.json")
