"""Tests for settings that change while an instance runs."""

from __future__ import annotations

import asyncio

import pytest

from poplarwick_bench import examples
from poplarwick_core import errors
from poplarwick_node import log_events
from poplarwick_node import settings_follower

make_deployment = examples.make_deployment


class FakeFile:
    """Stands in for a settings file; tests replace its content."""

    def __init__(self):
        self.content = make_deployment()

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
    return FakeFile()


@pytest.fixture
def refreshes():
    return []


@pytest.fixture
def follower(file, events, refreshes):
    return settings_follower.SettingsFollower(
        make_deployment(), file.read, lambda: refreshes.append(1)
    )


def test_reload_applies_changed_bounds_at_once(
    follower, file, events, refreshes
):
    changed = examples.make_bounds(cold_slack=1.0, free_s=2.0)
    file.content = make_deployment(bounds=changed)
    follower.reload()
    assert follower._deployment.bounds == changed
    assert refreshes == [1]
    assert events == [
        log_events.SettingsApplied(bounds="cold_slack:1.0,free_s:2.0")
    ]


def test_unchanged_file_changes_and_logs_nothing(follower, events, refreshes):
    follower.reload()
    assert not events and not refreshes


def test_unreadable_file_keeps_bounds_and_is_logged_once(
    follower, file, events
):
    file.content = errors.DocumentError("s.json", "$.bounds", "missing")
    follower.reload()
    follower.reload()
    assert follower._deployment.bounds == examples.BOUNDS
    assert [type(e) for e in events] == [log_events.SettingsNotRead]


def test_changed_address_is_logged_by_name_and_not_applied(
    follower, file, events
):
    file.content = make_deployment(caller_address="127.0.0.1:9")
    follower.reload()
    follower.reload()
    assert follower._deployment.caller_address == "127.0.0.1:1"
    assert events == [log_events.SettingsNeedRestart(fields="caller_address")]


async def _run_until_applied(follower, file, changed):
    task = asyncio.create_task(follower.run())
    await asyncio.sleep(0)
    file.content = make_deployment(bounds=changed)
    follower.request_reload()
    async with asyncio.timeout(5):
        while follower._deployment.bounds != changed:
            await asyncio.sleep(0.01)
    task.cancel()


def test_signal_triggers_reload_before_next_poll(follower, file, monkeypatch):
    monkeypatch.setattr(settings_follower, "POLL_PERIOD_S", 60.0)
    changed = examples.make_bounds(grace_s=4.0)
    asyncio.run(_run_until_applied(follower, file, changed))


def test_change_without_signal_is_applied_at_next_poll(
    follower, file, monkeypatch
):
    monkeypatch.setattr(settings_follower, "POLL_PERIOD_S", 0.02)
    monkeypatch.setattr(follower, "request_reload", lambda: None)
    changed = examples.make_bounds(grace_s=4.0)
    asyncio.run(_run_until_applied(follower, file, changed))
