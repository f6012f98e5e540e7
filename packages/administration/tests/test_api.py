"""Tests for the administration API, its client and commands."""

import asyncio
import contextlib

import aiohttp
import fake_kv
import pytest
import serving
import texts
from aiohttp import test_utils

from poplarwick_administration import client
from poplarwick_administration import main
from poplarwick_administration import messages

TIMEOUT_S = 20


@contextlib.asynccontextmanager
async def serve(service):
    async with serving.serve(service) as (server, _):
        yield server


def run(coroutine):
    asyncio.run(asyncio.wait_for(coroutine, TIMEOUT_S))


async def push_text(server, token, **options):
    async with client.AdministrationClient(server, token) as administration:
        return await administration.push_document(
            "trial", texts.make_text(), **options
        )


def test_pushed_document_is_read_back_unchanged():
    async def check():
        async with serve(fake_kv.FakeKv()) as server:
            accepted = await push_text(server, "secret", change_id="c1")
            assert accepted.version == 1
            async with client.AdministrationClient(server, "seen") as viewer:
                stored = await viewer.read_document("trial")
                assert stored.text == texts.make_text()
                assert stored.head.author == "anna"
                status = await viewer.read_status()
                assert status.instances[0].instance == "i1"

    run(check())


@pytest.mark.parametrize(
    ("token", "kind"),
    [
        ("wrong", messages.ErrorKind.UNAUTHENTICATED),
        ("", messages.ErrorKind.UNAUTHENTICATED),
        ("seen", messages.ErrorKind.FORBIDDEN),
    ],
)
def test_push_without_permission_is_refused(token, kind):
    async def check():
        service = fake_kv.FakeKv()
        async with serve(service) as server:
            with pytest.raises(client.RefusedError) as caught:
                await push_text(server, token, change_id="c1")
            assert caught.value.body.kind is kind
        assert service.commits == 0

    run(check())


def test_every_route_requires_a_token():
    async def check():
        async with (
            serve(fake_kv.FakeKv()) as server,
            aiohttp.ClientSession() as session,
        ):
            for path in (
                "/v1/status",
                "/v1/environments/trial/document",
                "/nowhere",
            ):
                async with session.get(f"http://{server}{path}") as response:
                    assert response.status == 401, path

    run(check())


def test_superseded_push_returns_the_conflicting_version():
    async def check():
        async with serve(fake_kv.FakeKv()) as server:
            await push_text(server, "secret", change_id="c1")
            with pytest.raises(client.RefusedError) as caught:
                await push_text(
                    server, "secret", change_id="c2", expected_version=0
                )
            assert caught.value.body.kind is messages.ErrorKind.SUPERSEDED
            assert caught.value.body.head.change_id == "c1"

    run(check())


@pytest.fixture
def files(tmp_path):
    (tmp_path / "token").write_text("secret\n")
    (tmp_path / "good.jsonc").write_text(texts.make_text())
    (tmp_path / "bad.jsonc").write_text(texts.make_text(domains=[]))
    return tmp_path


def test_check_command_returns_exit_code_for_invalid_document(files, capsys):
    assert main.main(["document", "check", str(files / "good.jsonc")]) == 0
    assert main.main(["document", "check", str(files / "bad.jsonc")]) == 2
    assert "bad.jsonc:" in capsys.readouterr().err
    assert main.main(["document", "check", str(files / "none.jsonc")]) == 2


def run_push_command(files, server, name):
    return main.main(
        [
            "document",
            "push",
            str(files / name),
            "--server",
            server,
            "--token-file",
            str(files / "token"),
            "--environment",
            "trial",
        ]
    )


def test_push_command_stores_document(files, capsys):
    async def check():
        async with serve(fake_kv.FakeKv()) as server:
            good = await asyncio.to_thread(
                run_push_command, files, server, "good.jsonc"
            )
            bad = await asyncio.to_thread(
                run_push_command, files, server, "bad.jsonc"
            )
            assert (good, bad) == (0, 2)

    run(check())
    assert "trial: version 1 is stored" in capsys.readouterr().out


def test_push_command_fails_if_server_is_unreachable(files, capsys):
    port = test_utils.unused_port()
    assert run_push_command(files, f"127.0.0.1:{port}", "good.jsonc") == 1
    assert "--change-id" in capsys.readouterr().err
