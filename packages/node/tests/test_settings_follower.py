"""Settings that change while an instance runs."""

from __future__ import annotations

import asyncio

import pytest

from poplarwick_bench import examples
from poplarwick_core import errors
from poplarwick_node import log_events
from poplarwick_node import settings_follower

make_place = examples.make_deployment


class File:
    """A settings file whose content tests replace."""

    def __init__(self):
        self.content = make_place()

    def read(self):
        if isinstance(self.content, Exception):
            raise self.content
        return self.content


@pytest.fixture
def events(monkeypatch):
    seen = []
    monkeypatch.setattr(settings_follower.logs, "log", seen.append)
    return seen


@pytest.fixture
def file():
    return File()


@pytest.fixture
def refreshes():
    return []


@pytest.fixture
def follower(file, events, refreshes):
    return settings_follower.SettingsFollower(
        make_place(), file.read, lambda: refreshes.append(1)
    )


def test_changed_bounds_are_in_force_at_once(follower, file, events, refreshes):
    changed = examples.make_bounds(cold_slack=1.0, free_s=2.0)
    file.content = make_place(bounds=changed)
    follower.reload()
    assert follower._place.bounds == changed
    assert refreshes == [1]
    assert events == [
        log_events.SettingsApplied(bounds="cold_slack:1.0,free_s:2.0")
    ]


def test_an_unchanged_file_changes_and_logs_nothing(
    follower, events, refreshes
):
    follower.reload()
    assert not events and not refreshes


def test_an_unreadable_file_leaves_the_bounds_and_is_logged_once(
    follower, file, events
):
    file.content = errors.DocumentError("s.json", "$.bounds", "missing")
    follower.reload()
    follower.reload()
    assert follower._place.bounds == examples.BOUNDS
    assert [type(e) for e in events] == [log_events.SettingsNotRead]


def test_an_address_that_changes_is_logged_by_name_and_waits(
    follower, file, events
):
    file.content = make_place(caller_address="127.0.0.1:9")
    follower.reload()
    follower.reload()
    assert follower._place.caller_address == "127.0.0.1:1"
    assert events == [log_events.SettingsNeedRestart(fields="caller_address")]


async def _run_until_applied(follower, file, changed):
    running = asyncio.create_task(follower.run())
    await asyncio.sleep(0)
    file.content = make_place(bounds=changed)
    follower.note_signal()
    async with asyncio.timeout(5):
        while follower._place.bounds != changed:
            await asyncio.sleep(0.01)
    running.cancel()


def test_a_signal_has_the_file_read_before_the_next_look(
    follower, file, monkeypatch
):
    monkeypatch.setattr(settings_follower, "POLL_S", 60.0)
    changed = examples.make_bounds(grace_s=4.0)
    asyncio.run(_run_until_applied(follower, file, changed))


def test_a_change_without_a_signal_is_found_at_the_next_look(
    follower, file, monkeypatch
):
    monkeypatch.setattr(settings_follower, "POLL_S", 0.02)
    monkeypatch.setattr(follower, "note_signal", lambda: None)
    changed = examples.make_bounds(grace_s=4.0)
    asyncio.run(_run_until_applied(follower, file, changed))
