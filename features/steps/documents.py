"""Steps for the validation of documents."""

import json
import pathlib

from behave import given
from behave import then
from behave import when

from poplarwick_configuration import check
from poplarwick_configuration import document
from poplarwick_core import errors
from poplarwick_core import jsonc

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"


@given('a document with the unknown field "{field}" in its first organisation')
def step_document_with_unknown_field(context, field):
    organisation = {"id": "a", "keys": [], field: 1}
    context.document_text = json.dumps(
        {
            "environment": "trial",
            "organisations": [organisation],
            "domains": [],
            "endpoints": [],
        }
    )


@when("the document is decoded")
def step_decode(context):
    context.error = None
    try:
        jsonc.decode(context.document_text, document.Document, "trial.json")
    except errors.DocumentError as error:
        context.error = error


@then('the error names the path "{path}"')
def step_error_path(context, path):
    assert context.error is not None
    assert context.error.path == path, context.error.path


@then('the error mentions "{text}"')
def step_error_text(context, text):
    assert text in str(context.error), context.error


@given('the example "{file}" with "{old}" replaced by "{new}"')
def step_example_with_fault(context, file, old, new):
    text = (EXAMPLES / file).read_text(encoding="utf-8")
    assert old in text
    context.document_text = text.replace(old, new, 1)


@when("the document is checked")
def step_check(context):
    context.problems = check.check_document(context.document_text, "x.jsonc")


@then('a problem mentions "{message}" on the line of "{new}"')
def step_problem_line(context, message, new):
    lines = context.document_text.splitlines()
    found = [p for p in context.problems if message in p.message]
    assert found, context.problems
    assert any(new in lines[p.line - 1] for p in found), found
