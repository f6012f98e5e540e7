"""Steps that inject faults into a running system and check its history."""

import asyncio
import time

import msgspec
import tenacity
import uuid6
from behave import given
from behave import then
from behave import when

from poplarwick_bench import caller
from poplarwick_bench import demo
from poplarwick_bench import fault_injection
from poplarwick_bench import fleet
from poplarwick_bench import history
from poplarwick_bench import invariants
from poplarwick_core import outcome
from poplarwick_standins import engine_settings
from poplarwick_standins import service

WAIT_S = 20.0
POLL_PERIOD_S = 0.02
BYTES_PER_TOKEN = 4
EVENT_FAULTS = engine_settings.Faults(
    duplicate_every=2, late_every=3, missing_every=7, crossed_every=4
)
TRUNCATION_FAULT = engine_settings.Faults(cut_after_events=2, cuts=1)


def get_history(context):
    """Returns the history of the scenario."""
    if "history" not in context:
        context.history = history.History()
        context.started_at_s = time.time()
    return context.history


def make_completion(name, tokens, prompt_tokens=1_000, timeout_s=20.0):
    """Returns a streamed completion call with a unique prompt."""
    prompt = f"{name} {uuid6.uuid7()} ".ljust(
        prompt_tokens * BYTES_PER_TOKEN, "x"
    )
    return caller.Call(
        name=name,
        organisation=demo.ORGANISATION,
        secret=fleet.make_secret(demo.ORGANISATION),
        timeout_s=timeout_s,
        body={
            "model": fleet.MODEL,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": True,
        },
    )


def make_order(key):
    """Returns a non-idempotent call."""
    return caller.Call(
        name=f"order {key}",
        organisation=demo.ORGANISATION,
        secret=fleet.make_secret(demo.ORGANISATION),
        path=f"/services/{fleet.SERVICE}/orders",
        body={"order": "tallow"},
        timeout_s=10.0,
        key=key,
    )


def make_caller(context, node=0):
    """Returns a caller for one instance."""
    address = context.system.nodes[node].address
    return caller.Caller(context.system.testbed.session, address)


async def send_all(context, calls):
    """Sends calls concurrently, distributed round robin over the instances."""
    count = len(context.system.nodes)
    return await asyncio.gather(
        *(
            make_caller(context, index % count).send(call)
            for index, call in enumerate(calls)
        )
    )


async def post(context, address, path, body):
    """Posts a request to the control interface of a stand-in."""
    url = f"http://{address}{path}"
    data = msgspec.json.encode(body)
    async with context.system.testbed.session.post(url, data=data) as response:
        assert response.status < 300, await response.text()


async def wait_until(condition):
    """Waits until a coroutine function returns a true value."""
    polling = tenacity.AsyncRetrying(
        wait=tenacity.wait_fixed(POLL_PERIOD_S),
        stop=tenacity.stop_after_delay(WAIT_S),
        retry=tenacity.retry_if_result(lambda found: not found),
    )
    await polling(condition)


async def wait_for_idle_engines(context):
    """Waits until no engine holds reserved memory."""
    for engine in context.system.engines:
        await context.system.testbed.wait_idle(engine.address)


async def read_versions(context):
    """Records and returns the version in force at each instance."""
    scenario_history = get_history(context)
    for index, node in enumerate(context.system.node_settings):
        status = await context.system.make_operator(index).read_status()
        observed = history.Observation(
            node.instance, int(status["version"]), time.time()
        )
        scenario_history.observations.append(observed)
    return [
        o.version
        for o in scenario_history.observations[-len(context.system.nodes) :]
    ]


def find_endpoints(context, kind, name):
    """Returns the endpoint ids of a domain, or of one endpoint."""
    if kind == "endpoint":
        return frozenset({name})
    return frozenset(
        endpoint.id
        for endpoint in context.system.document.endpoints
        if endpoint.domain == name
    )


@when("{count:d} requests of {tokens:d} prompt tokens are sent concurrently")
def step_send(context, count, tokens):
    calls = [
        make_completion(f"call-{index}", 8, tokens) for index in range(count)
    ]
    get_history(context)
    context.records = context.run(send_all(context, calls))
    context.history.records += context.records


@when("{count:d} requests are sent concurrently")
def step_send_short(context, count):
    step_send(context, count, 1_000)


@when("a request with a deadline of {timeout_s:f} s requests {tokens:d} tokens")
def step_send_with_deadline(context, timeout_s, tokens):
    call = make_completion("slow", tokens, timeout_s=timeout_s)
    get_history(context)
    context.records = [context.run(make_caller(context).send(call))]
    context.history.records += context.records


@when("a caller aborts its request while it is answered")
def step_abort(context):
    async def abort():
        started = asyncio.Event()
        call = make_completion("leaver", 2_000)
        send_task = asyncio.create_task(
            make_caller(context).send(call, on_text=lambda text: started.set())
        )
        async with asyncio.timeout(WAIT_S):
            await started.wait()
        send_task.cancel()
        await asyncio.gather(send_task, return_exceptions=True)

    get_history(context)
    context.run(abort())


@given("every engine sends faulty event streams")
def step_event_faults(context):
    for engine in context.system.engines:
        path = "/control/faults"
        context.run(post(context, engine.address, path, EVENT_FAULTS))


@given("every engine truncates one answer")
def step_truncation(context):
    for engine in context.system.engines:
        context.run(
            post(context, engine.address, "/control/faults", TRUNCATION_FAULT)
        )


@given("the key-value service is down")
def step_kv_down(context):
    scenario_history = get_history(context)
    injector = fault_injection.FaultInjector(context.system, scenario_history)
    context.run(injector.set_kv_faults({"outage": True}))


@when("the key-value service is up again")
def step_kv_up(context):
    injector = fault_injection.FaultInjector(
        context.system, get_history(context)
    )
    context.run(injector.set_kv_faults({}))


@given("the service drops the response to the next call after executing it")
def step_drop_response(context):
    faults = service.ServiceFaults(drop_answers=1)
    for child in context.system.services:
        context.run(post(context, child.address, "/control/faults", faults))


@when("a non-idempotent call is sent {count:d} times sequentially")
def step_send_order_sequentially(context, count):
    scenario_history = get_history(context)
    key = str(uuid6.uuid7())
    scenario_history.at_most_once_keys.add(key)
    for index in range(count):
        node = index % len(context.system.nodes)
        sender = make_caller(context, node)
        scenario_history.records.append(
            context.run(sender.send(make_order(key)))
        )
    context.records = scenario_history.records[-count:]


@when("a non-idempotent call is sent {count:d} times concurrently")
def step_send_order_concurrently(context, count):
    scenario_history = get_history(context)
    key = str(uuid6.uuid7())
    scenario_history.at_most_once_keys.add(key)
    calls = [make_order(key) for _ in range(count)]
    context.records = context.run(send_all(context, calls))
    scenario_history.records += context.records


@when('operators drain the {kind} "{name}"')
def step_drain(context, kind, name):
    accepted = context.run(context.system.make_operator().take_out(kind, name))
    withdrawal = history.Withdrawal(
        find_endpoints(context, kind, name), accepted.at_s
    )
    scenario_history = get_history(context)
    is_domain = kind == "domain"
    found = (
        scenario_history.domain_withdrawals
        if is_domain
        else scenario_history.endpoint_withdrawals
    )
    found.append(withdrawal)
    context.withdrawal = withdrawal
    # The limit is guaranteed, so new requests may be sent right after it.
    until_s = accepted.at_s + invariants.WITHDRAWAL_LIMIT_S
    context.run(asyncio.sleep(max(0.0, until_s - time.time())))


@when('operators return the {kind} "{name}" to service')
def step_return_to_service(context, kind, name):
    scenario_history = get_history(context)
    for found in (
        scenario_history.domain_withdrawals,
        scenario_history.endpoint_withdrawals,
    ):
        found[:] = [
            history.Withdrawal(w.endpoints, w.accepted_at_s, time.time())
            if w.returned_at_s is None
            else w
            for w in found
        ]
    context.run(context.system.make_operator().put_in(kind, name))


@then('"{name}" receives requests again')
def step_receives_requests(context, name):
    async def receives_requests():
        calls = [make_completion(f"probe-{i}", 1) for i in range(6)]
        records = await send_all(context, calls)
        context.history.records += records
        return any(record.endpoint == name for record in records)

    context.run(wait_until(receives_requests))


@when(
    "an instance is stopped gracefully while {count:d} answers are in progress"
)
def step_stop_instance(context, count):
    async def stop():
        node = context.system.nodes[0]
        started = [asyncio.Event() for _ in range(count)]
        send_tasks = [
            asyncio.create_task(
                make_caller(context).send(
                    make_completion(f"call-{index}", 400),
                    on_text=lambda text, event=event: event.set(),
                )
            )
            for index, event in enumerate(started)
        ]
        async with asyncio.timeout(WAIT_S):
            for event in started:
                await event.wait()
        started_at_s = time.time()
        node.terminate()
        records = await asyncio.gather(*send_tasks)
        code = await node.wait(WAIT_S)
        return records, history.Stop(node.name, started_at_s, code)

    scenario_history = get_history(context)
    context.records, stopped = context.run(stop())
    scenario_history.records += context.records
    scenario_history.stops.append(stopped)


@when("{count:d} changes are pushed through different instances")
def step_push(context, count):
    scenario_history = get_history(context)
    for index in range(count):
        node = index % len(context.system.nodes)
        operator = context.system.make_operator(node)
        text = msgspec.json.encode(
            _make_variant(context.system.document, index)
        )
        scenario_history.acceptances.append(context.run(operator.push(text)))


@when("an instance is killed and restarted")
def step_restart_instance(context):
    async def restart():
        node = context.system.nodes[0]
        await node.kill()
        await node.start()
        await context.system.testbed.wait_ready(node)

    get_history(context).killed_or_paused.add(context.system.nodes[0].name)
    context.run(restart())


@then("every instance eventually has the newest version in force")
def step_in_force(context):
    newest = context.history.acceptances[-1]

    async def is_in_force():
        versions = await read_versions(context)
        return all(version >= newest.version for version in versions)

    context.run(wait_until(is_in_force))


@then("every instance still has the newest version in force")
def step_still_in_force(context):
    versions = context.run(read_versions(context))
    newest = context.history.acceptances[-1].version
    assert all(version >= newest for version in versions), versions


@then("every request gets its own complete answer")
def step_complete(context):
    for record in context.records:
        details = (record.status, record.code, record.outcome)
        assert record.is_complete, (record.name, details)
        assert caller.has_expected_text(record), record.name


@then("no request gets an incorrect answer marked as complete")
def step_no_incorrect_answer(context):
    for record in context.records:
        assert record.outcome is not None, (record.name, record.code)
        assert not record.is_complete or caller.has_expected_text(record)


@then("the request is reported as not completed in time")
def step_not_completed_in_time(context):
    for record in context.records:
        assert not record.is_complete, record
        ended = (outcome.Outcome.NOT_RUN, outcome.Outcome.FAILED)
        assert record.outcome in ended, record


@then('every call has the outcome "{word}"')
def step_outcomes(context, word):
    outcomes = [record.outcome for record in context.records]
    expected = outcome.Outcome(word)
    assert all(found is expected for found in outcomes), outcomes


@then('the last call has the outcome "{word}" or "{other}"')
def step_last_outcome(context, word, other):
    expected = (outcome.Outcome(word), outcome.Outcome(other))
    assert context.records[-1].outcome in expected, context.records[-1]


@then("the call was executed {count:d} times")
def step_executed(context, count):
    key = context.records[-1].key
    executions = history.read_executions(context.system.testbed.folder)
    found = [e for e in executions if e.idempotency_key == key]
    assert len(found) == count, found


@then("no engine was overloaded")
def step_not_overloaded(context):
    executions = history.read_executions(context.system.testbed.folder)
    overloads = (history.Event.OVERLOADED, history.Event.COLD_OVERLOAD)
    found = [e for e in executions if e.event in overloads]
    assert not found, found


@then('the check "{name}" holds')
def step_check(context, name):
    context.run(wait_for_idle_engines(context))
    scenario_history = get_history(context)
    scenario_history.executions = history.read_executions(
        context.system.testbed.folder
    )
    found = list(invariants.CHECKS[name](scenario_history))
    assert not found, found


def _make_variant(base, index):
    first, *others = base.organisations
    limits = msgspec.structs.replace(first.limits, max_concurrent=5_000 + index)
    changed = msgspec.structs.replace(first, limits=limits)
    return msgspec.structs.replace(base, organisations=(changed, *others))
