"""Tests for the settings of an instance."""

import pytest

from poplarwick_core import errors
from poplarwick_node import settings

VALID_SETTINGS = """{
  // One instance.
  "instance": "i1",
  "environment": "trial",
  "domain": "d1",
  "region": "r1",
  "listen": {
    "callers": "127.0.0.1:1",
    "peers": "127.0.0.1:2",
    "administration": "127.0.0.1:3",
  },
  "key_value": ["127.0.0.1:4"],
  "instance_list": "127.0.0.1:5",
  "administrators": [
    {"name": "anna", "role": "operator", "token_sha256": "%s"},
  ],
}
""" % ("0" * 64)


def read(tmp_path, text):
    path = tmp_path / "node.jsonc"
    path.write_text(text)
    return settings.read_settings(path)


def test_valid_settings_are_read(tmp_path):
    assert read(tmp_path, VALID_SETTINGS).administrators[0].name == "anna"


@pytest.mark.parametrize(
    ("old", "new", "line", "message"),
    [
        ('"region"', '"regoin"', 6, "found the unknown field `regoin`"),
        ('"r1"', "7", 6, "found `7`; allowed: `str`"),
        ('"i1"', '"i1\\n"', 3, "matching regex"),
        ("127.0.0.1:2", "127.0.0.1", 9, "found `'127.0.0.1'`"),
        ('["127.0.0.1:4"]', "[]", 12, "length >= 1"),
        ('"operator"', '"owner"', 15, "found `'owner'`"),
        ("token_sha256", "certificate", 15, "unknown field `certificate`"),
        (', "token_sha256"', "} //", 15, "found neither token_sha256 nor"),
        (
            '"domain": "d1"',
            '"domain": "d1", "domain": "d2"',
            5,
            "duplicate field",
        ),
    ],
)
def test_error_shows_file_line_and_allowed_values(
    tmp_path, old, new, line, message
):
    assert old in VALID_SETTINGS
    with pytest.raises(errors.DocumentError) as caught:
        read(tmp_path, VALID_SETTINGS.replace(old, new, 1))
    assert caught.value.line == line, caught.value
    assert message in str(caught.value)
    assert str(caught.value).startswith(f"{tmp_path}/node.jsonc:{line}: $")
