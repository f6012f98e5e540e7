"""Tests for document validation."""

import pathlib

import pytest
import texts

from poplarwick_configuration import check
from poplarwick_configuration import document
from poplarwick_core import jsonc

ENDPOINT = {"id": "e1", "address": "h:1", "domain": "d1", "model": "lm"}
SERVICE = {"id": "e2", "address": "h:2", "domain": "d1", "service": "orders"}
MODEL = {"id": "lm", "context_tokens": 10, "memory_tokens": 20}
KEY = {"id": "k", "sha256": texts.DIGEST}


def test_valid_document_has_no_problems():
    assert check.check_document(texts.make_text(), "x.jsonc") == ()


@pytest.mark.parametrize(
    ("changes", "path", "message"),
    [
        (
            {"endpoints": [ENDPOINT, {**SERVICE, "domain": "d9"}]},
            "$.endpoints[1].domain",
            'found "d9"; one of: d1',
        ),
        (
            {"endpoints": [ENDPOINT, {**SERVICE, "model": "lm"}]},
            "$.endpoints[1]",
            "found both of model and service",
        ),
        (
            {"endpoints": [ENDPOINT, SERVICE, {**ENDPOINT, "address": "h:3"}]},
            "$.endpoints[2].id",
            "is already used at $.endpoints[0].id",
        ),
        (
            {"endpoints": [ENDPOINT, {**SERVICE, "address": "h:1"}]},
            "$.endpoints[1].address",
            "is already used",
        ),
        (
            {"endpoints": [{**ENDPOINT, "address": "h:99999"}, SERVICE]},
            "$.endpoints[0].address",
            "found port 99999; 1 to 65535",
        ),
        ({"endpoints": [SERVICE]}, "$.models[0].id", "has no endpoint"),
        ({"endpoints": [ENDPOINT]}, "$.services[0].id", "has no endpoint"),
        (
            {"models": [{**MODEL, "context_tokens": 30}]},
            "$.models[0].context_tokens",
            "found 30; at most memory_tokens",
        ),
        (
            {"models": [{**MODEL, "timeout_s": 9.0, "max_timeout_s": 3.0}]},
            "$.models[0].timeout_s",
            "found 9",
        ),
        (
            {
                "organisations": [
                    {"id": "a", "keys": [KEY]},
                    {"id": "b", "keys": [KEY]},
                ]
            },
            "$.organisations[1].keys[0].sha256",
            "is already used",
        ),
    ],
)
def test_problem_reports_line_and_path(changes, path, message):
    text = texts.make_text(**changes)
    problems = check.check_document(text, "x.jsonc")
    found = {p.path: p for p in problems}
    assert path in found, problems
    assert message in found[path].message
    assert str(found[path]).startswith(f"x.jsonc:{found[path].line}: {path}")
    assert found[path].line > 1


def test_problem_line_is_the_line_of_the_field():
    text = texts.make_text(endpoints=[ENDPOINT, {**SERVICE, "domain": "d9"}])
    problem = check.check_document(text, "x.jsonc")[0]
    line = text.splitlines()[problem.line - 1]
    assert line.strip() == '"domain": "d9",'


EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"


@pytest.mark.parametrize(
    ("name", "engines", "services"),
    [("lathercraft", 16, 3), ("chaussee-boreale", 23, 3)],
)
def test_example_is_valid_and_has_expected_size(name, engines, services):
    path = EXAMPLES / f"{name}.jsonc"
    text = path.read_text(encoding="utf-8")
    assert check.check_document(text, str(path)) == ()
    parsed = jsonc.decode(text, document.Document, str(path))
    assert len(parsed.domains) == 3
    assert len(parsed.organisations) == 10
    assert sum(e.model is not None for e in parsed.endpoints) == engines
    assert sum(e.service is not None for e in parsed.endpoints) == services
    model = parsed.models[0]
    assert model.context_tokens > 2 * model.memory_tokens


def test_committed_schema_matches_the_code():
    path = EXAMPLES.parent / "docs" / "reference" / "document.schema.json"
    committed = path.read_text(encoding="utf-8")
    assert committed == document.encode_schema() + "\n"
