"""Tests for `poplarwick check` with files and a real HTTP server."""

import asyncio
import json

import fake_kv
import pytest
import serving
import texts

from poplarwick_administration import main

KEYS = [{"id": "k", "sha256": texts.DIGEST}]


def make_text(weight=1, **changes):
    organisation = {"id": "soap", "keys": KEYS, "weight": weight}
    return texts.make_text(**{"organisations": [organisation], **changes})


def write(folder, name, *, weight=1, **changes):
    path = folder / name
    path.write_text(make_text(weight, **changes))
    return path


def run(capsys, *arguments):
    code = main.main(["check", *map(str, arguments)])
    return int(code), capsys.readouterr()


def test_check_ends_with_0_for_clean_and_1_for_findings(tmp_path, capsys):
    code, printed = run(capsys, write(tmp_path, "x.jsonc"))
    assert (code, printed.err) == (0, "")
    assert printed.out == f"{tmp_path}/x.jsonc: no findings\n"
    path = write(tmp_path, "x.jsonc", organisations=[{"id": "a", "keys": []}])
    code, printed = run(capsys, path)
    assert code == 1
    assert printed.out.startswith(f"{path}:7: $.organisations[0].keys: warning")


@pytest.mark.parametrize(
    ("content", "line", "path", "message"),
    [
        (b"", 1, "$", "No JSON data"),
        (b'{\n"models": [', 2, "$", "not valid JSON"),
        (b"[" * 100_000, 1, "$", "Maximum nesting level"),
        (b'{"a":' * 100_000, 1, "$", "Maximum nesting level"),
        (b'{"environment":' + b"9" * 5_000 + b"}", 1, "$", "NumericLiteral"),
        (
            make_text(weight=10**400).encode(),
            13,
            "$.organisations[0].weight",
            "allowed: `int` <= 1000000000000",
        ),
        (
            make_text(weight="x").encode(),
            13,
            "$.organisations[0].weight",
            "found `'x'`",
        ),
        (
            b'{"models": [],\n "models": []}',
            2,
            "$.models",
            "duplicate field, first defined on line 1",
        ),
        (b'{\n"environment": "\xff"}', 2, "$", "can't decode byte 0xff"),
    ],
)
def test_file_that_cannot_be_read_ends_with_2(
    tmp_path, capsys, content, line, path, message
):
    file = tmp_path / "x.jsonc"
    file.write_bytes(content)
    for against in ((), ("--against", file)):
        code, printed = run(capsys, file, *against)
        assert (code, printed.out) == (2, "")
        assert printed.err.startswith(f"{file}:")
        assert f": {path}: error: " in printed.err
        assert message in printed.err
    code, printed = run(capsys, file, "--format", "json")
    report = json.loads(printed.out)
    assert (code, report["status"]) == (2, "unreadable")
    [finding] = report["findings"]
    assert (finding["rule"], finding["path"]) == ("unreadable", path)
    assert finding["line"] == line


def test_missing_file_and_folder_end_with_2(tmp_path, capsys):
    file = write(tmp_path, "x.jsonc")
    for arguments in ([tmp_path], [tmp_path / "no"], [file, "--against", "no"]):
        code, printed = run(capsys, *arguments)
        assert code == 2
        assert str(arguments[-1]) in printed.err


def test_differences_from_a_file_are_shown(tmp_path, capsys):
    old = write(tmp_path, "old.jsonc")
    new = write(tmp_path, "new.jsonc", weight=2)
    code, printed = run(capsys, new, "--against", old)
    assert code == 0
    assert "~ organisations[soap].weight: 1 -> 2" in printed.out
    code, printed = run(capsys, new, "--against", new)
    assert (code, "no differences" in printed.out) == (0, True)


def test_differences_from_the_version_in_force_are_shown(tmp_path, capsys):
    async def check():
        first, second = (
            write(tmp_path, f"{n}.jsonc", weight=n) for n in (1, 2)
        )
        options = ("--against", "in-force")
        async with serving.serve(fake_kv.FakeKv()) as (server, _):
            runner = serving.CommandRunner(tmp_path, server)
            code, out, _ = await runner.call("check", first, *options)
            assert code == 0
            assert "from no version in force" in out
            assert '+ environment: "trial"' in out
            await runner.call(
                "document", "push", first, "--environment", "trial"
            )
            code, out, _ = await runner.call(
                "check", second, *options, "--format", "json"
            )
            report = json.loads(out)
            assert (code, report["status"]) == (0, "clean")
            assert report["against"] == "version 1 in force"
            assert report["differences"] == [
                {
                    "path": "organisations[soap].weight",
                    "before": "1",
                    "after": "2",
                }
            ]
            other = write(tmp_path, "o.jsonc", environment="other")
            code, _, err = await runner.call("check", other, *options)
            assert code == 2
            assert "call an instance of other" in err
            denied = serving.CommandRunner(tmp_path, server, token="wrong")
            code, _, err = await denied.call("check", first, *options)
            assert code == 2
            assert err.startswith("in-force: $: error")

    serving.run(check())


def test_version_in_force_needs_an_instance_that_responds(tmp_path, capsys):
    file = write(tmp_path, "x.jsonc")
    code, printed = run(capsys, file, "--against", "in-force")
    assert (code, "--server is missing" in printed.err) == (2, True)

    async def find_free_address():
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        async with server:
            return "{}:{}".format(*server.sockets[0].getsockname())

    for address in (asyncio.run(find_free_address()), "::", "h:99999"):
        code, printed = run(
            capsys, file, "--against", "in-force", "--server", address
        )
        assert code == 2
        assert printed.err.startswith("in-force: $: error")
