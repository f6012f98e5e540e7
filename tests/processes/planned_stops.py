"""Stops of real instances under load on open connections.

Run as a program, it plays seeds and prints the requests that were lost.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import json
import pathlib
import random
import tempfile
import time

import conditions as play_conditions
import cpu_shares
import explained_ends
import machine_lateness
import paced_callers
import standstills
import stop_orders
import timed_engines

from poplarwick_bench import proxy
from poplarwick_bench.soak import callers
from poplarwick_bench.soak import fleet
from poplarwick_bench.soak import records
from poplarwick_standins import platform_calls

LOSS_SLACK_S = 0.2
"""Time in which a request may cross the close of its connection."""

EARLY_SHARE = 5 / 6
"""Part of the grace period in which endpoints have to end (RULES.md, LOST)."""

EARLY_REQUEST_S = 3.0
"""Time after SIGTERM up to which requests are excused for slow endpoints."""

TIMEOUT_SLACK_S = 0.05
"""Time by which a request may end before its route's time is over."""

ROUTE_TIMEOUTS_S = {
    "short": 8.0,
    "long": 10.0,
    "giant": 12.0,
    "once": 2.5,
    "lookup": 2.5,
}
"""Timeouts of the routes of `fleet`."""


DEFAULT_CONDITIONS = play_conditions.Conditions()
"""Conditions of a play that does nothing but stops."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What one kind of request asks for.

    Attributes:
        route: Name of the route.
        weight: Relative frequency.
        prompt_tokens: Shortest and longest prompt; None for plain services.
        events: Fewest and most events.
        deadline_s: Time that the client waits.
    """

    route: str
    weight: float
    prompt_tokens: tuple[int, int] | None
    events: tuple[int, int]
    deadline_s: float


LOADS = (
    Load("short", 23, (1_000, 12_000), (5, 60), 10.0),
    Load("long", 1.3, (20_000, 100_000), (5, 50), 10.0),
    Load("giant", 0.6, (80_000, 400_000), (5, 40), 15.0),
    Load("once", 2.1, None, (0, 0), 2.5),
    Load("lookup", 1.5, None, (0, 0), 2.5),
)
"""Kinds of requests and their rates, as on the sheets of the users."""


@dataclasses.dataclass(slots=True)
class Attempt:
    """What a client saw of a request.

    Times are monotonic, in seconds.

    Attributes:
        request_id: Id of the request.
        route: Route of the request.
        instance: Instance that took it.
        incarnation: Start of the instance's process.
        in_chunks: Whether its body came in chunks.
        is_first: Whether it is the first one on its connection.
        deadline_s: Time that the client waited at most.
        began_at_s: Time of its first byte.
        sent_at_s: Time of its last byte; None if it was not sent whole.
        ended_at_s: Time of the end.
        status: Status of the answer; None without one.
        is_complete: Whether the answer is complete.
        end: Why it is not.
        reads_slowly: Whether the client reads slowly, and so sees an end later.
    """

    request_id: str
    route: str
    instance: str
    incarnation: int
    in_chunks: bool
    is_first: bool
    deadline_s: float
    began_at_s: float
    sent_at_s: float | None = None
    ended_at_s: float = 0.0
    status: int | None = None
    is_complete: bool = False
    end: str = ""
    reads_slowly: bool = False

    @property
    def reached_timeout(self):
        """Whether its route's time was over at the end."""
        timeout_s = ROUTE_TIMEOUTS_S[self.route]
        return self.ended_at_s - self.began_at_s > timeout_s - TIMEOUT_SLACK_S


class StopFleet(fleet.Fleet):
    """A fleet whose engines work in passes, under the conditions of a play."""

    conditions = DEFAULT_CONDITIONS
    """Conditions of the play."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.links = {}
        self.pauses = {}
        self.standstills = []
        self.stop_at_s = {}
        self.ends_at_s = {}
        self.silent = set()

    def make_replica(self, name, service, domain):
        """Returns a stand-in for an endpoint."""
        if service != fleet.POOL:
            return super().make_replica(name, service, domain)
        engine = timed_engines.TimedEngine(
            name, service, domain, peers=self._peers
        )
        engine.ends_at_s = self.ends_at_s
        engine.silent = self.silent
        engine.event_bytes = self.conditions.event_bytes
        return engine

    async def apply(self, conditions, rng):
        """Puts the conditions in force, which last until the fleet ends."""
        self.conditions = conditions
        for endpoint in self.endpoints:
            endpoint.replica.event_bytes = conditions.event_bytes
        for instance in self.instances:
            pauses = cpu_shares.Pauses(instance.node)
            self.pauses[instance.name] = pauses
            if conditions.has_links:
                await self._link(instance, rng)
            if conditions.cpu_share:
                share = rng.uniform(*conditions.cpu_share)
                self._start_task(
                    cpu_shares.limit_share(
                        pauses, share, conditions.cpu_period_s
                    )
                )

    async def _link(self, instance, rng):
        """Puts a link between clients and an instance."""
        link = proxy.Proxy(
            instance.address, buffer_bytes=self.conditions.link_buffer_bytes
        )
        await self._stack.enter_async_context(link)
        bytes_per_s = None
        if self.conditions.link_mbit:
            mbit = rng.uniform(*self.conditions.link_mbit)
            bytes_per_s = mbit * play_conditions.BYTES_PER_MBIT
        link.apply(
            proxy.Rules(
                delay_s=self.conditions.link_delay_s, bytes_per_s=bytes_per_s
            )
        )
        self.links[instance.name] = link

    async def stand_still(self, instance, at_s, duration_s):
        """Pauses an instance once from a monotonic time on."""
        await asyncio.sleep(at_s - time.monotonic())
        self.standstills.append(
            await standstills.stand_still(
                self.pauses[instance.name], instance.name, duration_s
            )
        )

    @contextlib.contextmanager
    def disturb_store(self, instance):
        """Lets the store fail until the context is exited."""
        fault = self.conditions.store_fault
        match fault:
            case None:
                yield
                return
            case play_conditions.StoreFault.DOWN:
                self.store.is_down = True
            case play_conditions.StoreFault.UNRESPONSIVE:
                self.store.is_unresponsive = True
            case play_conditions.StoreFault.LOSES_ANSWERS:
                instance.store_proxy.apply(proxy.Rules(drops_responses=True))
        try:
            yield
        finally:
            self.store.is_down = self.store.is_unresponsive = False
            instance.store_proxy.apply(proxy.Rules())

    def list_process_ids(self):
        """Returns the process ids of the instances that run."""
        nodes = [instance.node for instance in self.instances]
        return [node.id for node in nodes if node.is_running]

    def get_client_address(self, instance):
        """Returns where clients connect to an instance."""
        link = self.links.get(instance.name)
        return instance.address if link is None else link.address

    def time_answer(self, attempt, deadline_s):
        """Chooses the end of an answer by a stop that is announced.

        Returns:
            The number of events of the answer; None if no stop is near, or no
            end is left before the request's time is over.
        """
        stop_at_s = self.stop_at_s.get(attempt.instance)
        if stop_at_s is None:
            return None
        begins_at_s = time.monotonic()
        time_left_s = min(deadline_s, ROUTE_TIMEOUTS_S[attempt.route])
        ends = [
            stop_at_s + end_s
            for end_s in self.conditions.ends_s
            if 0.5 < stop_at_s + end_s - begins_at_s < time_left_s - 0.5
        ]
        if not ends:
            return None
        # The same request has the same end in each play of a seed.
        rng = random.Random(attempt.request_id)
        ends_at_s = rng.choice(ends)
        if rng.random() < self.conditions.silent_share:
            self.silent.add(attempt.request_id)
        self.ends_at_s[attempt.request_id] = ends_at_s
        return timed_engines.choose_event_count(ends_at_s - begins_at_s)


class Client:
    """Sends requests on connections that it keeps open."""

    def __init__(self, system, balancer, number, seed, period_s, attempts):
        self._system = system
        self._balancer = balancer
        self._number = number
        self._rng = random.Random(seed * 10_007 + number)
        self._period_s = period_s
        self._attempts = attempts
        self._count = 0

    async def run(self, until_s):
        """Sends requests until a monotonic time."""
        while time.monotonic() < until_s:
            instance = self._balancer.choose(self._rng)
            address = self._system.get_client_address(instance)
            host, _, port = address.rpartition(":")
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await self._connect(host, int(port))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                await self._use(instance, reader, writer, until_s)
            finally:
                writer.close()

    async def _connect(self, host, port):
        """Returns a connection of a caller that may read slowly."""
        conditions = self._system.conditions
        share = conditions.slow_share
        if share and self._rng.random() < share:
            return await paced_callers.connect(
                host, port, conditions.slow_bytes_per_s
            )
        return await asyncio.open_connection(host, port)

    async def _use(self, instance, reader, writer, until_s):
        for number in range(self._rng.randint(1, 30)):
            await asyncio.sleep(self._rng.expovariate(1 / self._period_s))
            if time.monotonic() > until_s or reader.at_eof():
                return
            is_first = number == 0
            if not await self._call(instance, reader, writer, is_first):
                return

    async def _call(self, instance, reader, writer, is_first):
        load = self._rng.choices(LOADS, [x.weight for x in LOADS])[0]
        self._count += 1
        attempt = Attempt(
            f"c{self._number}-{self._count}",
            load.route,
            instance.name,
            instance.incarnation,
            self._rng.random() < 0.4,
            is_first,
            load.deadline_s,
            time.monotonic(),
            reads_slowly=isinstance(reader, paced_callers.PacedReader),
        )
        self._attempts.append(attempt)
        stays_open = False
        try:
            async with asyncio.timeout(load.deadline_s):
                await self._send(writer, load, attempt)
                stays_open = await _receive(reader, attempt)
            attempt.is_complete = True
        except TimeoutError:
            attempt.end = "deadline"
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            attempt.end = repr(error)
        attempt.ended_at_s = time.monotonic()
        return stays_open

    async def _send(self, writer, load, attempt):
        rng = self._rng
        prompt = load.prompt_tokens and rng.randint(*load.prompt_tokens)
        event_count = rng.randint(*load.events)
        if prompt:
            timed = self._system.time_answer(attempt, load.deadline_s)
            event_count = timed or event_count
        headers = platform_calls.make_headers(
            attempt.request_id,
            self._system.api_keys[0],
            load.deadline_s,
            prompt,
            event_count,
        )
        body = b"x" * rng.randint(100, 20_000)
        if attempt.in_chunks:
            headers["Transfer-Encoding"] = "chunked"
        else:
            headers["Content-Length"] = str(len(body))
        lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
        head = f"POST /{load.route}/1 HTTP/1.1\r\n{lines}\r\n".encode()
        if not attempt.in_chunks:
            writer.write(head + body)
            await writer.drain()
            attempt.sent_at_s = time.monotonic()
            return
        writer.write(head)
        pause_s = rng.choice((0.0, 0.002, 0.05, 0.3))
        while body:
            part, body = body[:4_000], body[4_000:]
            writer.write(b"%x\r\n%b\r\n" % (len(part), part))
            await writer.drain()
            await asyncio.sleep(pause_s * rng.random())
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        attempt.sent_at_s = time.monotonic()


async def _receive(reader, attempt):
    """Reads an answer and returns whether the connection stays open."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    attempt.status = int(head.split(" ")[1])
    if "transfer-encoding: chunked" in head:
        while size := int(await reader.readline(), 16):
            await reader.readexactly(size + 2)
        await reader.readexactly(2)
    else:
        _, _, rest = head.partition("content-length:")
        await reader.readexactly(int(rest.split("\r\n")[0]))
    return "connection: close" not in head


@dataclasses.dataclass(slots=True)
class Result:
    """What a play has shown.

    Attributes:
        attempts: All attempts.
        stops: All stops.
        lost: Attempts that a stop has lost (RULES.md, LOST).
        cut: Attempts that were cut although an endpoint ran them, and no end of
            a grace period nor of a route's time is the reason.
        unnamed: Ids of attempts without an answer that no log names.
        explanations: What the logs of leaving instances say of the ends that
            callers saw (`explained_ends`).
        excused: How many lost attempts a standstill excuses.
        standstills: Standstills of instances.
        late_spells: When the machine was late (`machine_lateness`).
    """

    attempts: list
    stops: list
    lost: list
    cut: list
    unnamed: list
    explanations: list
    excused: int = 0
    standstills: list = dataclasses.field(default_factory=list)
    late_spells: list = dataclasses.field(default_factory=list)

    @property
    def findings(self):
        """Explanations that are not enough, without excuse by a standstill."""
        excused = self.list_excused()
        return [
            explanation
            for explanation in self.explanations
            if explanation.finding and explanation.request_id not in excused
        ]

    def list_excused(self):
        """Returns the ids of the attempts that a standstill excuses."""
        return self._list_disturbed(
            self.standstills, standstills.SETTLE_WINDOW_S
        )

    def list_late(self):
        """Returns the ids of the attempts during which the machine was late."""
        return self._list_disturbed(self.late_spells, machine_lateness.SETTLE_S)

    def _list_disturbed(self, disruptions, settle_s):
        return {
            attempt.request_id
            for attempt in self.attempts
            if any(
                disruption.excuses(
                    attempt.began_at_s, attempt.ended_at_s, settle_s
                )
                for disruption in disruptions
            )
        }


def _list_runs(system):
    runs = collections.defaultdict(list)
    for replica in system.record.endpoints:
        for execution in replica.executions:
            runs[execution.request_id].append(execution)
    return runs


def find_cut(runs, attempts, stops):
    """Returns the attempts that were cut while a sound endpoint ran them."""
    return [
        attempt
        for attempt in attempts
        if runs[attempt.request_id]
        and not attempt.is_complete
        and attempt.end != "deadline"
        and not attempt.reached_timeout
        and not any(
            stop.instance == attempt.instance
            and attempt.ended_at_s - stop.at_s
            > stop_orders.GRACE_S * EARLY_SHARE
            and attempt.ended_at_s
            < explained_ends.find_last_end_s(attempt, stop, stop_orders.GRACE_S)
            for stop in stops
        )
    ]


def find_unnamed(folder, attempts):
    """Returns attempts that were sent whole, got nothing and have no line.

    The first request of a connection is left out: the connection may have been
    waiting to be accepted as its instance stopped listening.
    """
    logs = "".join(
        path.read_text(errors="replace") for path in folder.glob("*.log")
    )
    return [
        attempt
        for attempt in attempts
        if not attempt.is_complete
        and attempt.sent_at_s is not None
        and not attempt.is_first
        and f"request={attempt.request_id} " not in logs
    ]


def find_lost(runs, attempts, stops):
    """Returns the attempts that planned stops have lost, with their runs."""
    lost = []
    for attempt in attempts:
        if attempt.is_complete or attempt.sent_at_s is None:
            continue
        if attempt.end == "deadline" or attempt.reached_timeout:
            continue
        for stop in stops:
            if stop.instance != attempt.instance:
                continue
            until_s = stop.at_s + stop_orders.GRACE_S + 1
            if not stop.at_s <= attempt.ended_at_s <= until_s:
                continue
            executions = runs[attempt.request_id]
            late = attempt.ended_at_s - attempt.sent_at_s > LOSS_SLACK_S
            if not executions and not late:
                continue
            if _was_at_work(executions, attempt, stop):
                continue
            lost.append((attempt, stop, executions))
    return lost


def _was_at_work(executions, attempt, stop):
    """Whether a slow endpoint excuses the loss."""
    if attempt.began_at_s > stop.at_s + EARLY_REQUEST_S:
        return False
    late_s = stop.at_s + stop_orders.GRACE_S * EARLY_SHARE
    return any((e.ended_at_s or 1e12) > late_s for e in executions)


def split_excused(lost, disruptions):
    """Splits lost attempts into those that count and those that do not.

    Args:
        lost: Lost attempts, with their stops and runs.
        disruptions: Standstills, which excuse the requests of their time.
    """
    counted, excused = [], []
    for loss in lost:
        attempt, _, _ = loss
        is_excused = any(
            disruption.excuses(attempt.began_at_s, attempt.ended_at_s)
            for disruption in disruptions
        )
        (excused if is_excused else counted).append(loss)
    return counted, excused


async def play(
    seed,
    folder,
    *,
    launcher=fleet.LAUNCHER,
    duration_s=60.0,
    clients=40,
    instances=5,
    engines=8,
    rate_per_s=28.0,
    conditions=DEFAULT_CONDITIONS,
    series=1,
    **bounds,
):
    """Plays stops in turn under load.

    Args:
        seed: Seed of the load.
        folder: Folder of settings and logs.
        launcher: Program that starts the instances.
        duration_s: Length of the load.
        clients: Number of clients.
        instances: Number of instances.
        engines: Number of engines.
        rate_per_s: Requests a second, of all clients.
        conditions: What is done to instances and links besides.
        series: Number of series of stops beside each other.
        **bounds: Limits in the settings.
    """
    rng = random.Random(seed)
    attempts, stops = [], []
    bounds = {"grace_s": stop_orders.GRACE_S, **bounds}
    async with StopFleet(
        folder,
        records.Record(),
        instances=instances,
        engines=engines,
        launcher=launcher,
        bounds=bounds,
    ) as system:
        # Random numbers of its own: a condition changes no order of stops.
        await system.apply(conditions, random.Random(seed + 1))
        balancer = callers.LoadBalancer(system)
        balancing = asyncio.create_task(balancer.run())
        watch = machine_lateness.LatenessWatch(system.list_process_ids)
        watching = asyncio.create_task(watch.run())
        until_s = time.monotonic() + duration_s
        async with asyncio.TaskGroup() as group:
            for number in range(clients):
                client = Client(
                    system,
                    balancer,
                    number,
                    seed,
                    clients / rate_per_s,
                    attempts,
                )
                group.create_task(client.run(until_s))
            await asyncio.sleep(3.0)
            order = list(range(instances))
            rng.shuffle(order)
            last_stop_s = until_s - stop_orders.GRACE_S - 1.0
            if conditions.together or conditions.same_domain:
                group.create_task(
                    stop_orders.stop_together(system, stops, rng, last_stop_s)
                )
            else:
                for number in range(series):
                    group.create_task(
                        stop_orders.stop_in_turn(
                            system,
                            stops,
                            order[number::series],
                            rng,
                            last_stop_s,
                        )
                    )
        balancing.cancel()
        watching.cancel()
        runs = _list_runs(system)
        lost = find_lost(runs, attempts, stops)
        cut = find_cut(runs, attempts, stops)
    lost, excused = split_excused(lost, system.standstills)
    return Result(
        attempts,
        stops,
        lost,
        cut,
        find_unnamed(folder, attempts),
        explain(folder, attempts, stops),
        len(excused),
        system.standstills,
        watch.spells,
    )


def explain(folder, attempts, stops):
    """Returns the explanations of all ends at stops."""
    logs = {
        stop.instance: explained_ends.read_lines(
            folder / f"{stop.instance}.log"
        )
        for stop in stops
    }
    return list(
        explained_ends.explain_ends(attempts, stops, logs, stop_orders.GRACE_S)
    )


def describe(result):
    """Returns the lines of a report."""
    statuses = collections.Counter(
        a.status if a.is_complete else a.end[:28] for a in result.attempts
    )
    lines = [
        f"{len(result.attempts)} attempts, {len(result.stops)} stops"
        f" ({sum(s.was_killed for s in result.stops)} killed),"
        f" {len(result.lost)} lost (besides {result.excused} excused by"
        f" standstills), {len(result.cut)} cut,"
        f" {len(result.unnamed)} unnamed; {dict(statuses)}",
        f"the machine was late in {len(result.late_spells)} periods",
        *explained_ends.tabulate(result.explanations, result.list_excused()),
    ]
    for attempt in result.attempts:
        if (
            not attempt.is_complete
            and attempt.end != "deadline"
            and not attempt.reached_timeout
        ):
            lines.append(
                f"incomplete: {attempt.request_id} {attempt.route}"
                f" at {attempt.instance} chunks={attempt.in_chunks}"
                f" status={attempt.status} end={attempt.end}"
                + "".join(
                    f" after SIGTERM: {attempt.began_at_s - s.at_s:.3f} to"
                    f" (sent {(attempt.sent_at_s or s.at_s) - s.at_s:.3f})"
                    f" {attempt.ended_at_s - s.at_s:.3f}"
                    f" (exit {s.exited_at_s - s.at_s:.3f})"
                    for s in result.stops
                    if s.instance == attempt.instance
                    and 0 < attempt.ended_at_s - s.at_s < 12
                )
            )
    for attempt, stop, executions in result.lost:
        lines.append(
            f"LOST {attempt.request_id} {attempt.route} at {attempt.instance}"
            f" chunks={attempt.in_chunks}"
            f" began={attempt.began_at_s - stop.at_s:+.3f}"
            f" sent={attempt.sent_at_s - stop.at_s:+.3f}"
            f" ended={attempt.ended_at_s - stop.at_s:+.3f}"
            f" exit={stop.exited_at_s - stop.at_s:+.3f}"
            f" status={attempt.status} end={attempt.end} runs="
            + json.dumps(
                [
                    (
                        e.outcome,
                        round(e.began_at_s - stop.at_s, 3),
                        e.ended_at_s and round(e.ended_at_s - stop.at_s, 3),
                    )
                    for e in executions
                ]
            )
        )
    return lines


def main():
    """Plays seeds one after the other and prints what was lost."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--launcher", type=pathlib.Path, default=fleet.LAUNCHER)
    parser.add_argument("--logs", type=pathlib.Path)
    parser.add_argument("--duration-s", type=float, default=60.0)
    parser.add_argument("--clients", type=int, default=40)
    parser.add_argument("--instances", type=int, default=5)
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument("--rate-per-s", type=float, default=28.0)
    parser.add_argument("--series", type=int, default=1)
    parser.add_argument(
        "--bounds", type=json.loads, default={}, help="JSON, in the settings"
    )
    play_conditions.add_options(parser)
    options = vars(parser.parse_args())
    options["conditions"] = play_conditions.read_options(options)
    options.update(options.pop("bounds"))
    logs = options.pop("logs")
    first, count = options.pop("seed"), options.pop("seeds")
    for seed in range(first, first + count):
        with contextlib.ExitStack() as stack:
            folder = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            if logs is not None:
                folder = logs / f"seed-{seed}"
                folder.mkdir(parents=True, exist_ok=True)
            result = asyncio.run(play(seed, folder, **options))
            print(f"seed {seed}:", "\n  ".join(describe(result)), flush=True)


if __name__ == "__main__":
    main()
