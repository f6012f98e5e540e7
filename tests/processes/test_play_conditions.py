"""Tests for the conditions of a play: shares, standstills, timed answers."""

from __future__ import annotations

import asyncio
import random

import cpu_shares
import explained_ends
import machine_lateness
import paced_callers
import planned_stops
import pytest
import standstills
import stop_orders
import timed_engines


class Node:
    """A process that counts its signals."""

    def __init__(self):
        self.signals = []

    def pause(self):
        self.signals.append("stop")

    def resume(self):
        self.signals.append("continue")


def test_process_runs_again_once_nothing_holds_it():
    node = Node()
    pauses = cpu_shares.Pauses(node)
    with pauses.hold():
        with pauses.hold():
            assert node.signals == ["stop"]
        assert node.signals == ["stop"]
    assert node.signals == ["stop", "continue"]


def test_share_ends_with_a_process_that_runs():
    async def run():
        node = Node()
        share = asyncio.create_task(
            cpu_shares.limit_share(cpu_shares.Pauses(node), 0.5, 0.001)
        )
        while len(node.signals) < 3:
            await asyncio.sleep(0.001)
        share.cancel()
        await asyncio.gather(share, return_exceptions=True)
        return node.signals

    signals = asyncio.run(run())
    assert signals[-1] == "continue"
    assert signals[::2] == ["stop"] * (len(signals) // 2)


@pytest.mark.parametrize(
    ("sent_at_s", "ended_at_s", "is_excused"),
    [(1.0, 9.9, False), (1.0, 10.1, True), (13.9, 20, True), (14.1, 20, False)],
)
def test_standstill_excuses_requests_of_its_settle_window(
    sent_at_s, ended_at_s, is_excused
):
    standstill = standstills.Standstill("front-0", 10.0, 11.0)
    assert standstill.excuses(sent_at_s, ended_at_s) is is_excused


def test_standstill_lasts_as_long_as_drawn():
    async def run():
        node = Node()
        pauses = cpu_shares.Pauses(node)
        standstill = await standstills.stand_still(pauses, "front-0", 0.01)
        return node.signals, standstill.ended_at_s - standstill.began_at_s

    signals, duration_s = asyncio.run(run())
    assert signals == ["stop", "continue"]
    assert duration_s >= 0.01


def test_paced_answer_ends_at_its_time_whatever_was_late():
    pace = timed_engines.Pace(ends_at_s=10.0, left=4)
    assert pace.choose_gap_s(2.0) == pytest.approx(2.0)
    assert pace.choose_gap_s(7.0) == pytest.approx(1.0)
    assert pace.choose_gap_s(9.0) == pytest.approx(0.5)
    assert pace.choose_gap_s(11.0) == 0.0


def test_group_of_stops_contains_the_placer():
    names = ["front-0", "front-1", "front-2", "front-3"]
    for seed in range(20):
        rng = random.Random(seed)
        group = stop_orders.choose_group("front-2", names, 3, rng)
        assert "front-2" in group
        assert len(group) == 3
    assert len(stop_orders.choose_group(None, names, 2, rng)) == 2


def test_domain_of_the_placer_is_chosen_whole():
    domains = {"front-0": "a", "front-1": "b", "front-2": "a"}
    chosen = stop_orders.choose_domain
    assert chosen("front-2", domains) == {"front-0", "front-2"}
    assert chosen("front-1", domains) == {"front-1"}
    assert chosen(None, domains) == {"front-0", "front-2"}


def test_paced_reader_takes_the_time_of_what_it_reads():
    async def run():
        reader = asyncio.StreamReader()
        reader.feed_data(b"head\nbody")
        reader.feed_eof()
        paced = paced_callers.PacedReader(reader, 400)
        assert await paced.readline() == b"head\n"
        began_at_s = asyncio.get_running_loop().time()
        assert await paced.readexactly(4) == b"body"
        assert paced.at_eof()
        return asyncio.get_running_loop().time() - began_at_s

    assert asyncio.run(run()) >= 0.01


def test_lateness_of_the_play_or_of_an_instance_is_a_spell():
    watch = machine_lateness.LatenessWatch(list)
    period_s = machine_lateness.PERIOD_S
    watch.record(100.0, {7: 5.0})
    watch.spells.clear()
    watch.record(100.0 + period_s, {7: 5.09})
    assert watch.spells == []
    watch.record(100.0 + 2 * period_s, {7: 5.20})
    watch.record(100.0 + 3 * period_s, {7: 5.20, 8: 0.01})
    watch.record(100.0 + 4 * period_s + 0.11, {8: 0.01})
    assert [spell.began_at_s for spell in watch.spells] == [
        100.0 + period_s,
        100.0 + 3 * period_s,
    ]


def test_wait_for_a_core_is_read_in_seconds(tmp_path):
    folder = tmp_path / "7"
    folder.mkdir()
    (folder / "schedstat").write_text("5000 1500000000 12\n")
    assert machine_lateness.read_waited_s(7, tmp_path) == 1.5
    assert machine_lateness.read_waited_s(8, tmp_path) == 0.0


def test_only_findings_beside_a_standstill_are_excused():
    def attempt(request_id, began_at_s):
        return planned_stops.Attempt(
            *(request_id, "short", "front-0", 1, False, False, 10.0),
            began_at_s,
            ended_at_s=began_at_s + 1.0,
        )

    attempts = [attempt("c1-1", 101.0), attempt("c1-2", 106.0)]
    explanations = [
        explained_ends.Explanation(x.request_id, 1.0, "no line", "no line")
        for x in attempts
    ]
    result = planned_stops.Result(
        *(attempts, [], [], [], [], explanations),
        standstills=[standstills.Standstill("front-0", 99.0, 100.0)],
    )
    assert [x.request_id for x in result.findings] == ["c1-2"]
    assert explained_ends.tabulate(explanations, {"c1-1"}) == [
        "   1 excused no line: no line",
        "   1 FINDING no line: no line",
    ]
