"""Steps about documents."""

import json

from behave import given
from behave import then
from behave import when

from poplarwick_configuration import document
from poplarwick_core import errors
from poplarwick_core import jsonc


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
