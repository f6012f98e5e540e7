"""Steps for drains, concurrent operators and API keys."""

import asyncio

import aiohttp
import msgspec
from behave import given
from behave import then
from behave import when

from poplarwick_administration import client
from poplarwick_administration import messages
from poplarwick_bench import fleet

WAIT_S = 30.0
POLL_PERIOD_S = 0.1
CHANGE_ID = "feature-change"


def open_client(context, number):
    """Returns a client for the administration API of one instance."""
    listen = context.system.node_settings[number].listen
    return client.AdministrationClient(
        listen.administration, fleet.OPERATOR_TOKEN
    )


async def call(context, number, function):
    """Calls the administration API of one instance."""
    async with open_client(context, number) as administration:
        return await function(administration)


async def set_faults(context, **faults):
    """Replaces the injected faults of the key-value service."""
    url = f"http://{context.system.kv.address}/control/faults"
    body = msgspec.json.encode(faults)
    async with context.system.testbed.session.post(url, data=body) as response:
        response.raise_for_status()


async def wait_for_all(context, is_met):
    """Waits until the status of every instance meets a condition."""
    async with asyncio.timeout(WAIT_S):
        for number in range(len(context.system.nodes)):
            while True:
                try:
                    status = await call(
                        context, number, lambda c: c.read_status()
                    )
                    if is_met(status):
                        break
                except client.UnreachableError:
                    pass
                await asyncio.sleep(POLL_PERIOD_S)


@given("the key-value service is unavailable")
def step_outage(context):
    context.run(set_faults(context, outage=True))


@when("the key-value service is available again")
def step_outage_ends(context):
    context.run(set_faults(context))


@when('an operator takes "{target}" out of service through instance {number:d}')
def step_take_out(context, target, number):
    take_out(context, target, number, CHANGE_ID)


@when('an operator returns "{target}" to service through instance {number:d}')
def step_put_in(context, target, number):
    put_in(context, target, number, f"{CHANGE_ID}-in")


@when(
    'an operator takes "{target}" out of service through instance {number:d} '
    'with the change id "{change_id}"'
)
def step_take_out_by_id(context, target, number, change_id):
    take_out(context, target, number, change_id)


@when(
    'an operator returns "{target}" to service through instance {number:d} '
    'with the change id "{change_id}"'
)
def step_put_in_by_id(context, target, number, change_id):
    put_in(context, target, number, change_id)


def take_out(context, target, number, change_id):
    """Takes a target out of service through one instance."""
    context.response = context.run(
        call(
            context,
            number,
            lambda c: c.take_out(
                fleet.ENVIRONMENT, target, change_id=change_id
            ),
        )
    )


def put_in(context, target, number, change_id):
    """Returns a target to service through one instance."""
    context.run(
        call(
            context,
            number,
            lambda c: c.put_in(fleet.ENVIRONMENT, target, change_id=change_id),
        )
    )


@then('"{name}" owns no endpoints and the other instances own all')
def step_owns_nothing(context, name):
    all_endpoints = {e.id for e in context.system.document.endpoints}

    def is_met(status):
        owned = {one.instance: set(one.endpoints) for one in status.instances}
        return (
            not owned.pop(name)
            and set().union(*owned.values()) == all_endpoints
        )

    context.run(wait_for_all(context, is_met))


@then('the response says "{text}"')
def step_response_says(context, text):
    assert isinstance(context.response, messages.HeldMessage), context.response
    assert text in context.response.message


@then("the change is held by every instance")
def step_held_by_all(context):
    names = {node.instance for node in context.system.node_settings}
    assert set(context.response.held_by) == names, context.response
    assert context.response.missing == ()


@when("instance {number:d} is killed and restarted")
def step_restart(context, number):
    async def restart():
        system = context.system
        await system.nodes[number].kill()
        node = system.node_settings[number]
        system.nodes[number] = await system.testbed.start_node(node)

    context.run(restart())


@then('"{target}" is held out of service at every instance')
def step_held_out(context, target):
    context.run(wait_for_all(context, lambda s: target in s.held))


@then('"{target}" is stored as out of service at every instance')
def step_stored_out(context, target):
    context.run(
        wait_for_all(
            context, lambda s: target in s.out and target not in s.held
        )
    )


@then('"{target}" is in service at every instance')
def step_in_service(context, target):
    context.run(
        wait_for_all(context, lambda s: target not in (*s.out, *s.held))
    )


@then("the audit trail contains the change once")
def step_audit(context):
    audit = context.run(
        call(
            context,
            0,
            lambda c: c.read_audit(fleet.ENVIRONMENT, {"change_id": CHANGE_ID}),
        )
    )
    assert [entry.result for entry in audit.entries] == ["accepted"], audit


@given(
    "two documents with the weights {one:d} and {two:d} "
    "of the first organisation"
)
def step_two_documents(context, one, two):
    context.before = context.run(
        call(context, 0, lambda c: c.read_document(fleet.ENVIRONMENT))
    )
    content = msgspec.json.decode(context.before.text)
    context.documents = []
    for weight in (one, two):
        content["organisations"][0]["weight"] = weight
        context.documents.append(msgspec.json.encode(content).decode())


@given("responses of the key-value service are lost")
def step_lost_responses(context):
    context.run(set_faults(context, lost_write_probability=0.5, seed=1))


@when("two operators push them concurrently through different instances")
def step_concurrent_pushes(context):
    expected = context.before.head.version

    async def push(number):
        try:
            return await call(
                context,
                number,
                lambda c: c.push_document(
                    fleet.ENVIRONMENT,
                    context.documents[number],
                    change_id=f"race-{number}",
                    expected_version=expected,
                ),
            )
        except client.RefusedError as error:
            return error.body

    async def push_concurrently():
        responses = await asyncio.gather(push(0), push(1))
        await set_faults(context)
        return responses

    context.responses = context.run(push_concurrently())


@then("one version is stored")
def step_one_stored(context):
    accepted = [
        r for r in context.responses if isinstance(r, messages.AcceptedMessage)
    ]
    assert len(accepted) == 1, context.responses
    context.accepted = accepted[0]
    assert context.accepted.version == context.before.head.version + 1


@then("the other operator gets the accepted change as the conflict")
def step_conflict(context):
    refused = [
        r for r in context.responses if isinstance(r, messages.ErrorMessage)
    ]
    assert [r.kind for r in refused] == [messages.ErrorKind.SUPERSEDED]
    assert refused[0].head.change_id == context.accepted.change_id
    assert [d.path for d in refused[0].differences] == [
        f"organisations[{_first_organisation(context)}].weight"
    ]


@then("the version is in force at every instance")
def step_in_force(context):
    version = context.accepted.version
    context.run(wait_for_all(context, lambda s: s.version >= version))


@when('an operator issues the key "{key}" to the first organisation')
def step_issue_key(context, key):
    issued = context.run(
        call(
            context,
            0,
            lambda c: c.issue_key(
                fleet.ENVIRONMENT,
                _read_first_organisation(context),
                messages.KeyRequest(id=key),
                change_id=f"issue-{key}",
            ),
        )
    )
    context.secret = issued.secret
    context.run(wait_for_all(context, lambda s: s.version >= issued.version))


@when('an operator revokes the key "{key}"')
def step_revoke_key(context, key):
    accepted = context.run(
        call(
            context,
            1,
            lambda c: c.revoke_key(
                fleet.ENVIRONMENT,
                _read_first_organisation(context),
                key,
                change_id=f"revoke-{key}",
            ),
        )
    )
    context.run(wait_for_all(context, lambda s: s.version >= accepted.version))


@then("the published API accepts the key")
def step_key_accepted(context):
    assert context.run(_list_models(context)) == [200, 200]


@then("the published API refuses the key")
def step_key_refused(context):
    assert context.run(_list_models(context)) == [401, 401]


async def _list_models(context):
    """Returns the HTTP status of a call with the key at every instance."""
    statuses = []
    headers = {"Authorization": f"Bearer {context.secret}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        for node in context.system.nodes:
            url = f"http://{node.address}/v1/models"
            async with session.get(url) as response:
                statuses.append(response.status)
    return statuses


def _first_organisation(context):
    content = msgspec.json.decode(context.documents[0])
    return content["organisations"][0]["id"]


def _read_first_organisation(context):
    return context.system.document.organisations[0].id
