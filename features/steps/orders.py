"""Steps for non-idempotent calls."""

import asyncio

import msgspec
import uuid6
from behave import given
from behave import then
from behave import when

from poplarwick_bench import caller
from poplarwick_bench import demo
from poplarwick_bench import fleet
from poplarwick_core import outcome

WAIT_S = 60.0
POLL_PERIOD_S = 0.1


def send(context, number):
    """Sends the order to one instance and returns the record of the call."""
    address = context.system.nodes[number].address
    sender = caller.Caller(context.system.testbed.session, address)
    return sender.send(context.order)


async def count_executions(context):
    """Returns the number of executions of the order by all services."""
    executions = 0
    for service in context.system.services:
        url = f"http://{service.address}/control/log"
        async with context.system.testbed.session.get(url) as response:
            executions += (await response.text()).count(context.order.key)
    return executions


async def set_service_faults(context, **faults):
    """Replaces the injected faults of all services."""
    for service in context.system.services:
        url = f"http://{service.address}/control/faults"
        body = msgspec.json.encode(faults)
        async with context.system.testbed.session.post(
            url, data=body
        ) as response:
            response.raise_for_status()


async def send_until(context, is_met):
    """Retries the order at the second instance until a condition holds."""
    async with asyncio.timeout(WAIT_S):
        while True:
            record = await send(context, 1)
            context.records.append(record)
            if is_met(record):
                return
            await asyncio.sleep(POLL_PERIOD_S)


@given("an order with a unique key")
def step_make_order(context):
    context.records = []
    context.order = caller.Call(
        name="order",
        organisation=demo.ORGANISATION,
        secret=fleet.make_secret(demo.ORGANISATION),
        path=f"/services/{fleet.SERVICE}/orders",
        body={"order": "tallow"},
        timeout_s=10.0,
        key=str(uuid6.uuid7()),
    )
    context.run(set_service_faults(context))


@given("the services drop their next response")
def step_drop_responses(context):
    context.run(set_service_faults(context, drop_answers=1))


@given("the services are delayed by 1 second")
def step_delay_services(context):
    context.run(set_service_faults(context, delay_s=1.0))


@when("the order is sent to instance {number:d}")
def step_send(context, number):
    context.records.append(context.run(send(context, number)))


@when("the order is sent to instance 0, which is killed during the execution")
def step_send_and_kill(context):
    async def send_and_kill():
        send_task = asyncio.create_task(send(context, 0))
        async with asyncio.timeout(WAIT_S):
            while True:
                if await count_executions(context):
                    break
                await asyncio.sleep(POLL_PERIOD_S)
        await context.system.nodes[0].kill()
        context.records.append(await send_task)

    context.run(send_and_kill())
    assert context.records[-1].outcome is None, context.records[-1]


@when("the order is sent until it has been executed")
def step_send_until_executed(context):
    context.run(
        send_until(context, lambda r: r.outcome is outcome.Outcome.COMPLETE)
    )


@when('the order is sent until it has an outcome other than "not-run"')
def step_send_until_outcome(context):
    not_executed = (None, outcome.Outcome.NOT_RUN)
    context.run(send_until(context, lambda r: r.outcome not in not_executed))


@then("both answers are the same")
def step_same_responses(context):
    first, second = context.records
    for record in context.records:
        assert record.outcome is outcome.Outcome.COMPLETE, record
    assert first.text == second.text, context.records


@then('both outcomes are "{name}"')
def step_both_outcomes(context, name):
    found = [record.outcome for record in context.records]
    assert found == [outcome.Outcome(name)] * 2, context.records


@then('the last outcome is "{name}"')
def step_last_outcome(context, name):
    last = context.records[-1]
    assert last.outcome is outcome.Outcome(name), last


@then("the order was executed once")
def step_executed_once(context):
    step_executed(context, 1)


@then("the order was executed {count:d} times")
def step_executed(context, count):
    executions = context.run(count_executions(context))
    assert executions == count, (executions, context.records)
