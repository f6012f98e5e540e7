"""Steps about calls that may not be repeated."""

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
    """Sends the order to one instance and keeps what it answered."""
    address = context.system.nodes[number].address
    sender = caller.Caller(context.system.testbed.session, address)
    return sender.send(context.order)


async def read_runs(context):
    """Returns how often the services ran the order."""
    runs = 0
    for service in context.system.services:
        url = f"http://{service.address}/control/log"
        async with context.system.testbed.session.get(url) as response:
            runs += (await response.text()).count(context.order.key)
    return runs


async def set_service_faults(context, **faults):
    """Replaces the faults of all services."""
    for service in context.system.services:
        url = f"http://{service.address}/control/faults"
        body = msgspec.json.encode(faults)
        async with context.system.testbed.session.post(
            url, data=body
        ) as response:
            response.raise_for_status()


async def send_until(context, is_met):
    """Repeats the order at the second instance until a condition holds."""
    async with asyncio.timeout(WAIT_S):
        while True:
            record = await send(context, 1)
            context.records.append(record)
            if is_met(record):
                return
            await asyncio.sleep(POLL_PERIOD_S)


@given("an order with a key of its own")
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


@given("the services lose their next answer")
def step_lose_answers(context):
    context.run(set_service_faults(context, drop_answers=1))


@given("the services take 1 second more")
def step_slow_services(context):
    context.run(set_service_faults(context, delay_s=1.0))


@when("the order is sent to instance {number:d}")
def step_send(context, number):
    context.records.append(context.run(send(context, number)))


@when("the order is sent to instance 0, which is killed in mid-run")
def step_send_and_kill(context):
    async def act():
        sending = asyncio.create_task(send(context, 0))
        async with asyncio.timeout(WAIT_S):
            while True:
                if await read_runs(context):
                    break
                await asyncio.sleep(POLL_PERIOD_S)
        await context.system.nodes[0].kill()
        context.records.append(await sending)

    context.run(act())
    assert context.records[-1].outcome is None, context.records[-1]


@when("the order is sent until it has run")
def step_send_until_run(context):
    context.run(
        send_until(context, lambda r: r.outcome is outcome.Outcome.COMPLETE)
    )


@when('the order is sent until it has an outcome other than "not-run"')
def step_send_until_known(context):
    refused = (None, outcome.Outcome.NOT_RUN)
    context.run(send_until(context, lambda r: r.outcome not in refused))


@then("both answers are the same")
def step_same_answers(context):
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


@then("the order ran once")
def step_ran_once(context):
    step_ran(context, 1)


@then("the order ran {count:d} times")
def step_ran(context, count):
    runs = context.run(read_runs(context))
    assert runs == count, (runs, context.records)
