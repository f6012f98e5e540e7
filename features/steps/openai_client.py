"""Steps that use the published API with an unmodified client library."""

import openai
from behave import then
from behave import when

from poplarwick_bench import demo
from poplarwick_bench import fleet
from poplarwick_standins import completions

PROMPT = "Which batch label goes on the lavender soap?"
MESSAGES = [{"role": "user", "content": PROMPT}]
TIMEOUT_S = 30.0


def make_client(context, secret=None):
    """Returns a client for the first instance."""
    return openai.OpenAI(
        base_url=f"http://{context.system.nodes[0].address}/v1",
        api_key=secret or fleet.make_secret(demo.ORGANISATION),
        max_retries=0,
        timeout=TIMEOUT_S,
    )


def call_client(context, call, **arguments):
    """Calls the client and stores its result or error in the context."""
    context.error = None
    try:
        context.answer = call(**arguments)
    except openai.APIError as error:
        context.error = error


def complete(context, tokens=12, model=fleet.MODEL, secret=None):
    """Requests a non-streamed completion."""
    context.body = {"prompt": PROMPT}
    context.tokens = tokens
    call_client(
        context,
        make_client(context, secret).completions.create,
        model=model,
        prompt=PROMPT,
        max_tokens=tokens,
    )
    if context.error is None:
        context.answer_text = context.answer.choices[0].text


@when("the client lists the models")
def step_list_models(context):
    context.models = [m.id for m in make_client(context).models.list()]


@then('the models are "{name}"')
def step_models(context, name):
    assert context.models == [name], context.models


@when("the client requests a completion of {tokens:d} tokens")
def step_complete(context, tokens):
    complete(context, tokens)


@when('the client requests a completion of the model "{model}"')
def step_complete_with_model(context, model):
    complete(context, model=model)


@when("the client sends an unknown key")
def step_complete_with_unknown_key(context):
    complete(context, secret="not-a-key")


@when("the client streams a completion of {tokens:d} tokens")
def step_stream(context, tokens):
    context.body = {"prompt": PROMPT}
    context.tokens = tokens
    stream = make_client(context).completions.create(
        model=fleet.MODEL, prompt=PROMPT, max_tokens=tokens, stream=True
    )
    context.answer_text = "".join(event.choices[0].text for event in stream)


@when("the client requests a chat completion of {tokens:d} tokens")
def step_chat(context, tokens):
    context.body = {"messages": MESSAGES}
    context.tokens = tokens
    answer = make_client(context).chat.completions.create(
        model=fleet.MODEL, messages=MESSAGES, max_completion_tokens=tokens
    )
    context.answer_text = answer.choices[0].message.content


@when("the client streams a chat completion of {tokens:d} tokens")
def step_stream_chat(context, tokens):
    context.body = {"messages": MESSAGES}
    context.tokens = tokens
    stream = make_client(context).chat.completions.create(
        model=fleet.MODEL,
        messages=MESSAGES,
        max_completion_tokens=tokens,
        stream=True,
    )
    context.answer_text = "".join(
        event.choices[0].delta.content or "" for event in stream
    )


@then("the answer is the engine's complete text")
def step_complete_text(context):
    expected = completions.make_completion(context.body, context.tokens)
    assert context.answer_text == expected, (context.answer_text, expected)


@then("the answer reports {tokens:d} tokens")
def step_usage(context, tokens):
    assert context.answer.usage.completion_tokens == tokens


@then('the client raises "{name}" with the code "{code}"')
def step_error(context, name, code):
    assert context.error is not None
    assert type(context.error).__name__ == name, repr(context.error)
    assert context.error.code == code, context.error.code


@then('the outcome is "{outcome}"')
def step_outcome(context, outcome):
    headers = context.error.response.headers
    assert headers["Poplarwick-Outcome"] == outcome, headers
