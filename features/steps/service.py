"""Steps about parts in service, racing operators and keys."""

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
    """Returns a client of one instance's administration API."""
    listen = context.system.node_settings[number].listen
    return client.AdministrationClient(
        listen.administration, fleet.OPERATOR_TOKEN
    )


async def call(context, number, function):
    """Calls the administration API of one instance."""
    async with open_client(context, number) as administration:
        return await function(administration)


async def set_faults(context, **faults):
    """Replaces the faults of the key-value service."""
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


@given("the key-value service is out")
def step_outage(context):
    context.run(set_faults(context, outage=True))


@when("the key-value service answers again")
def step_outage_ends(context):
    context.run(set_faults(context))


@when('an operator takes "{target}" out through instance {number:d}')
def step_take_out(context, target, number):
    take_out(context, target, number, CHANGE_ID)


@when('an operator puts "{target}" in through instance {number:d}')
def step_put_in(context, target, number):
    put_in(context, target, number, f"{CHANGE_ID}-in")


@when(
    'an operator takes "{target}" out through instance {number:d} '
    'under the id "{change_id}"'
)
def step_take_out_by_id(context, target, number, change_id):
    take_out(context, target, number, change_id)


@when(
    'an operator puts "{target}" in through instance {number:d} '
    'under the id "{change_id}"'
)
def step_put_in_by_id(context, target, number, change_id):
    put_in(context, target, number, change_id)


def take_out(context, target, number, change_id):
    """Takes a target out through one instance and keeps the answer."""
    context.answer = context.run(
        call(
            context,
            number,
            lambda c: c.take_out(
                fleet.ENVIRONMENT, target, change_id=change_id
            ),
        )
    )


def put_in(context, target, number, change_id):
    """Puts a target back in through one instance."""
    context.run(
        call(
            context,
            number,
            lambda c: c.put_in(fleet.ENVIRONMENT, target, change_id=change_id),
        )
    )


@then('"{name}" owns nothing and the others own everything')
def step_owns_nothing(context, name):
    wanted = {e.id for e in context.system.document.endpoints}

    def is_met(status):
        owned = {one.instance: set(one.endpoints) for one in status.instances}
        return not owned.pop(name) and set().union(*owned.values()) == wanted

    context.run(wait_for_all(context, is_met))


@then('the answer says "{text}"')
def step_answer_says(context, text):
    assert isinstance(context.answer, messages.HeldMessage), context.answer
    assert text in context.answer.message


@then("the answer is held by every instance")
def step_held_by_all(context):
    names = {node.instance for node in context.system.node_settings}
    assert set(context.answer.held_by) == names, context.answer
    assert context.answer.missing == ()


@when("instance {number:d} is killed and started again")
def step_restart(context, number):
    async def restart():
        system = context.system
        await system.nodes[number].kill()
        node = system.node_settings[number]
        system.nodes[number] = await system.testbed.start_node(node)

    context.run(restart())


@then('"{target}" is held out at every instance')
def step_held_out(context, target):
    context.run(wait_for_all(context, lambda s: target in s.held))


@then('"{target}" is stored as out at every instance')
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


@then("the audit trail holds the change once")
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
    "two texts with the weights {one:d} and {two:d} of the first organisation"
)
def step_two_texts(context, one, two):
    context.before = context.run(
        call(context, 0, lambda c: c.read_document(fleet.ENVIRONMENT))
    )
    content = msgspec.json.decode(context.before.text)
    context.texts = []
    for weight in (one, two):
        content["organisations"][0]["weight"] = weight
        context.texts.append(msgspec.json.encode(content).decode())


@given("answers of the key-value service get lost")
def step_lost_answers(context):
    context.run(set_faults(context, lost_write_probability=0.5, seed=1))


@when("two operators push them at once through different instances")
def step_race(context):
    expected = context.before.head.version

    async def push(number):
        try:
            return await call(
                context,
                number,
                lambda c: c.push_document(
                    fleet.ENVIRONMENT,
                    context.texts[number],
                    change_id=f"race-{number}",
                    expected_version=expected,
                ),
            )
        except client.RefusedError as error:
            return error.body

    async def race():
        answers = await asyncio.gather(push(0), push(1))
        await set_faults(context)
        return answers

    context.answers = context.run(race())


@then("one version is stored")
def step_one_stored(context):
    accepted = [
        a for a in context.answers if isinstance(a, messages.AcceptedMessage)
    ]
    assert len(accepted) == 1, context.answers
    context.accepted = accepted[0]
    assert context.accepted.version == context.before.head.version + 1


@then("the other operator is told of the winner's change")
def step_other_told(context):
    refused = [
        a for a in context.answers if isinstance(a, messages.ErrorMessage)
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
    """Returns the statuses of a call with the key at every instance."""
    statuses = []
    headers = {"Authorization": f"Bearer {context.secret}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        for node in context.system.nodes:
            url = f"http://{node.address}/v1/models"
            async with session.get(url) as response:
                statuses.append(response.status)
    return statuses


def _first_organisation(context):
    content = msgspec.json.decode(context.texts[0])
    return content["organisations"][0]["id"]


def _read_first_organisation(context):
    return context.system.document.organisations[0].id
