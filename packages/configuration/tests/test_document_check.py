"""Tests for the check of a document before it is pushed."""

import json
import pathlib

import pytest
import texts

from poplarwick_configuration import check_report
from poplarwick_configuration import document_check
from poplarwick_core import errors

KEY = {"id": "k", "sha256": texts.DIGEST}
SOAP = {"id": "soap", "keys": [KEY]}
MODEL = {"id": "lm", "context_tokens": 10_000, "memory_tokens": 20_000}
SERVICE = {"id": "orders", "routes": [{"path": "/"}]}
ENGINE = {"id": "e1", "address": "h:1", "domain": "d1", "model": "lm"}
ORDERS = {"id": "e2", "address": "h:2", "domain": "d1", "service": "orders"}
ROOT = pathlib.Path(__file__).resolve().parents[3]


def make_text(**changes):
    return texts.make_text(**{"organisations": [SOAP], **changes})


def check(**changes):
    return document_check.check_text(make_text(**changes), "x.jsonc")


def list_found(report):
    return [
        f"{f.rule.value} {f.severity.value} {f.path}" for f in report.findings
    ]


def with_keys(*keys):
    return {"organisations": [{"id": "a", "keys": keys}]}


def with_routes(*routes):
    return {"services": [{**SERVICE, "routes": routes}]}


def test_clean_document_has_no_findings():
    report = check()
    assert report.findings == ()
    assert report.exit_code == 0
    # Other methods of one path, and a longer path, take nothing away.
    routes = [{"path": "/a"}, {"path": "/a", "methods": ["PUT"]}]
    assert check(**with_routes(*routes, {"path": "/a/b"})).findings == ()


@pytest.mark.parametrize(
    ("expected", "message", "changes"),
    [
        (
            "route_never_matches error $.services[0].routes[0].path",
            'found "/a"; all of its requests match the longer "/a/"',
            with_routes({"path": "/a"}, {"path": "/a/"}),
        ),
        (
            "route_never_matches error $.services[0].routes[0].path",
            "empty or unsafe segment",
            with_routes({"path": "/a/%2e%2E/b"}),
        ),
        (
            "method_never_matches error $.services[0].routes[0].methods[1]",
            'found "put"',
            with_routes({"path": "/a", "methods": ["GET", "put"]}),
        ),
        (
            "invalid error $.organisations[0].keys[1].sha256",
            "is already used",
            with_keys(KEY, {**KEY, "id": "l"}),
        ),
        (
            "key_never_accepted warning $.organisations[0].keys[0].expires_s",
            'key "k" has expired',
            with_keys({**KEY, "expires_s": 1}, {"id": "l", "sha256": "1" * 64}),
        ),
        (
            "no_key warning $.organisations[0].keys",
            "has no valid key",
            with_keys({**KEY, "revoked": True}),
        ),
        (
            "nothing_in_service error $.models[0].id",
            "out of service",
            {"endpoints": [{**ENGINE, "in_service": False}, ORDERS]},
        ),
        (
            "cold_above_warm warning $.services[0].cold_start.concurrent",
            "found 2; above max_concurrent, which is 1",
            {"services": [{**SERVICE, "max_concurrent": 1}]},
        ),
        (
            "cold_above_warm warning $.models[0].cold_start.tokens",
            "found 20001; above memory_tokens, which is 20000",
            {"models": [{**MODEL, "cold_start": {"tokens": 20_001}}]},
        ),
        (
            "timeout_too_short error $.models[0].max_timeout_s",
            "takes 5000.0 s",
            {"models": [{**MODEL, "prefill_tokens_per_s": 2}]},
        ),
    ],
)
def test_each_finding_names_rule_and_place(expected, message, changes):
    report = check(**changes)
    assert list_found(report) == [expected]
    assert message in report.findings[0].message
    assert report.findings[0].line > 1
    assert report.exit_code == 1


def test_a_domain_out_of_service_is_found_for_all_that_it_serves():
    domain = {"id": "d1", "region": "r1", "in_service": False}
    assert list_found(check(domains=[domain])) == [
        "nothing_in_service error $.models[0].id",
        "nothing_in_service error $.services[0].id",
    ]


def test_findings_are_in_the_order_of_the_file():
    changes = {
        "domains": [{"id": "d1", "region": "r1", "in_service": False}],
        **with_routes(*[{"path": "/a"}] * 12, {"path": "/a/"}),
    }
    text = json.dumps(json.loads(make_text(**changes).partition("\n")[2]))
    report = document_check.check_text(text, "x.jsonc")
    places = [f.path for f in report.findings if "routes" in f.path]
    numbers = [int(place.split("[")[2].partition("]")[0]) for place in places]
    assert numbers == sorted(numbers)
    assert report == document_check.check_text(text, "x.jsonc")


def test_differences_are_shown_beside_the_findings():
    before = document_check.Reference("old.jsonc", make_text())
    report = document_check.check_text(
        make_text(**with_routes({"path": "/"}), models=[MODEL | {"id": "l"}]),
        "x.jsonc",
        before,
    )
    paths = [(d.path, d.before is None) for d in report.differences]
    assert paths == [("models[lm]", False), ("models[l]", True)]
    assert "from old.jsonc to x.jsonc:" in check_report.format_text(report)


def test_differences_are_no_findings():
    before = document_check.Reference("version 0", None)
    report = document_check.check_text(make_text(), "x.jsonc", before)
    assert report.differences
    assert report.exit_code == 0


def test_ids_used_twice_do_not_hide_a_difference():
    twice = [SOAP, {**SOAP, "keys": [{**KEY, "sha256": "1" * 64}]}]
    before = document_check.Reference("old", make_text())
    report = document_check.check_text(
        make_text(organisations=twice), "x.jsonc", before
    )
    assert [d.path for d in report.differences] == ["organisations"]


def test_reference_that_is_no_document_is_named():
    reference = document_check.Reference("old.jsonc", "{}")
    with pytest.raises(errors.DocumentError) as caught:
        document_check.check_text(make_text(), "x.jsonc", reference)
    assert caught.value.source == "old.jsonc"


def test_committed_report_schema_matches_the_code():
    path = ROOT / "docs" / "reference" / "check_report.schema.json"
    assert path.read_text() == check_report.encode_schema() + "\n"
