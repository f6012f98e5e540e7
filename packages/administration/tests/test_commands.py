"""Tests for the operator command line with a real HTTP server."""

import asyncio
import json

import fake_kv
import serving
import texts

from poplarwick_configuration import document
from poplarwick_configuration import store
from poplarwick_core import jsonc

ENV = ("--environment", "trial")
TWO_DOMAINS = {
    "domains": [{"id": "d1", "region": "r1"}, {"id": "d2", "region": "r1"}],
    "endpoints": [
        {"id": "e1", "address": "h:1", "domain": "d1", "model": "lm"},
        {"id": "e2", "address": "h:2", "domain": "d2", "model": "lm"},
        {"id": "e3", "address": "h:3", "domain": "d2", "service": "orders"},
    ],
}


def write(folder, name, **changes):
    path = folder / name
    path.write_text(texts.make_text(**changes))
    return path


async def wait_until_confirmed(kv, version):
    documents = store.DocumentStore(kv, "trial")
    while not await documents.is_confirmed(version):  # noqa: ASYNC110
        await asyncio.sleep(0.01)


def test_push_diff_history_show_and_rollback(tmp_path):
    async def check():
        kv = fake_kv.FakeKv()
        first = write(tmp_path, "1.jsonc", weight=1)
        second = write(tmp_path, "2.jsonc", weight=2)
        async with serving.serve(kv) as (server, documents):
            runner = serving.CommandRunner(tmp_path, server)
            code, out, _ = await runner.call("document", "push", first, *ENV)
            assert code == 0
            assert "version 1 is stored" in out
            assert "in force at all instances" in out
            code, out, _ = await runner.call("document", "diff", second, *ENV)
            assert code == 0
            assert "~ organisations[soap].weight: 1 -> 2" in out
            await runner.call("document", "push", second, *ENV)
            code, out, _ = await runner.call("document", "rollback", 1, *ENV)
            assert (code, documents.version) == (0, 3)
            code, out, _ = await runner.call("document", "show", *ENV)
            assert out == first.read_text()
            code, out, _ = await runner.call("document", "history", *ENV)
            assert [line.split()[2:4] for line in out.splitlines()[1:]] == [
                ["push", "1"],
                ["push", "2"],
                ["rollback", "3"],
            ]

    serving.run(check())


def test_conflict_shows_changes_of_the_other_operator(tmp_path):
    async def check():
        async with serving.serve(fake_kv.FakeKv()) as (server, _):
            runner = serving.CommandRunner(tmp_path, server)
            for weight in (1, 2):
                path = write(tmp_path, "x.jsonc", weight=weight)
                await runner.call("document", "push", path, *ENV)
            code, _, err = await runner.call(
                "document", "push", path, *ENV, "--expect", 1
            )
            assert code == 1
            assert "version 2 was created by anna" in err
            assert "~ organisations[soap].weight: 1 -> 2" in err

    serving.run(check())


def test_promotion_requires_a_version_that_was_in_force(tmp_path):
    async def check():
        kv = fake_kv.FakeKv()
        trial = store.DocumentStore(kv, "trial")
        production = store.DocumentStore(kv, "production")
        await production.push(
            texts.make_text(environment="production", weight=1),
            author="anna",
            change_id="p1",
        )
        await trial.push(
            texts.make_text(weight=5), author="anna", change_id="t1"
        )
        promote = ("document", "promote", "trial", "production")
        async with serving.serve(kv, "production") as (server, documents):
            runner = serving.CommandRunner(tmp_path, server)
            code, _, err = await runner.call(*promote, "--yes")
            assert (code, documents.version) == (1, 1)
            assert "never in force" in err
            async with serving.serve(kv):
                await wait_until_confirmed(kv, 1)
            code, out, _ = await runner.call(*promote, stdin="n\n")
            assert (code, documents.version) == (1, 1)
            assert "~ organisations[soap].weight: 1 -> 5" in out
            code, out, _ = await runner.call(*promote, stdin="y\n")
            assert (code, documents.version) == (0, 2)
            assert documents.view.document.organisations[0].weight == 5

    serving.run(check())


def test_forced_promotion_is_possible(tmp_path):
    async def check():
        kv = fake_kv.FakeKv()
        for name in ("trial", "production"):
            await store.DocumentStore(kv, name).push(
                texts.make_text(environment=name), author="a", change_id=name
            )
        async with serving.serve(kv, "production") as (server, documents):
            runner = serving.CommandRunner(tmp_path, server)
            code, _, _ = await runner.call(
                "document", "promote", "trial", "production", "--yes", "--force"
            )
            assert (code, documents.version) == (0, 2)

    serving.run(check())


def test_domain_is_taken_out_and_put_back(tmp_path):
    async def check():
        kv = fake_kv.FakeKv()
        path = write(tmp_path, "x.jsonc", **TWO_DOMAINS)
        async with serving.serve(kv) as (server, documents):
            runner = serving.CommandRunner(tmp_path, server)
            await runner.call("document", "push", path, *ENV)
            code, out, _ = await runner.call("domain", "out", "d1", *ENV)
            assert code == 0
            assert not documents.view.find_domain("d1").in_service
            code, out, _ = await runner.call("status")
            assert "out: domain d1" in out
            assert "i1" in out
            code, _, err = await runner.call("domain", "out", "d2", *ENV)
            assert code == 1
            assert "no endpoint would be left" in err
            code, _, err = await runner.call("domain", "out", "d9", *ENV)
            assert code == 1
            assert "domain d9 is not known" in err
            code, _, _ = await runner.call("domain", "in", "d1", *ENV)
            assert code == 0
            assert documents.view.find_domain("d1").in_service
            code, _, err = await runner.call("domain", "in", "d1", *ENV)
            assert code == 1
            code, out, _ = await runner.call("instance", "out", "i7", *ENV)
            assert code == 0
            assert documents.view.document.instances_out == ("i7",)
            code, out, _ = await runner.call("status", "--json")
            assert json.loads(out)["out"] == ["instance i7"]
            code, out, _ = await runner.call("watch", "--count", 2)
            assert out.count("environment trial") == 2

    serving.run(check())


def test_domain_out_in_outage_reports_that_it_is_not_stored(tmp_path):
    async def check():
        kv = fake_kv.FakeKv()
        path = write(tmp_path, "x.jsonc", **TWO_DOMAINS)
        async with serving.serve(kv) as (server, documents):
            runner = serving.CommandRunner(tmp_path, server)
            await runner.call("document", "push", path, *ENV)
            await kv.set_down(True)
            code, out, _ = await runner.call("domain", "out", "d1", *ENV)
            assert code == 0
            assert "in force, not yet stored" in out
            assert not documents.view.find_domain("d1").in_service
            code, _, err = await runner.call("domain", "in", "d1", *ENV)
            assert code == 1
            assert "not stored" in err
            await kv.set_down(False)
            await documents.wait_for_version(2)
            assert not documents.view.find_domain("d1").in_service

    serving.run(check())


def test_audit_lists_accepted_and_refused_changes(tmp_path):
    async def check():
        path = write(tmp_path, "x.jsonc")
        async with serving.serve(fake_kv.FakeKv()) as (server, _):
            runner = serving.CommandRunner(tmp_path, server)
            await runner.call("document", "push", path, *ENV)
            await runner.call("document", "push", path, *ENV, "--expect", 7)
            code, out, _ = await runner.call("audit", *ENV, "--json")
            entries = json.loads(out)["entries"]
            assert [
                (e["author"], e["version"], e["result"]) for e in entries
            ] == [
                ("anna", 1, "accepted"),
                ("anna", None, "superseded"),
            ]
            code, out, _ = await runner.call(
                "audit", *ENV, "--result", "superseded"
            )
            assert len(out.splitlines()) == 2
            code, out, _ = await runner.call("audit", *ENV, "--author", "x")
            assert len(out.splitlines()) == 1

    serving.run(check())


def test_key_is_issued_rotated_with_overlap_and_revoked(tmp_path):
    async def check():
        path = write(tmp_path, "x.jsonc")
        async with serving.serve(fake_kv.FakeKv()) as (server, documents):
            runner = serving.CommandRunner(tmp_path, server)
            await runner.call("document", "push", path, *ENV)
            code, out, _ = await runner.call("key", "issue", "soap", "k1", *ENV)
            first = out.strip()
            code, out, _ = await runner.call(
                "key",
                "rotate",
                "soap",
                "k2",
                *ENV,
                "--replaces",
                "k1",
                "--overlap",
                3600,
            )
            second = out.strip()
            assert code == 0
            await documents.wait_for_version(3)
            for secret in (first, second):
                assert secret not in documents.stored.text
                assert find_owner(documents, secret) == "soap"
            code, _, _ = await runner.call("key", "revoke", "soap", "k1", *ENV)
            assert code == 0
            assert find_owner(documents, first) is None
            assert find_owner(documents, second) == "soap"
            code, out, _ = await runner.call(
                "key",
                "rotate",
                "soap",
                "k3",
                *ENV,
                "--replaces",
                "k2",
                "--overlap",
                0,
            )
            await documents.wait_for_version(5)
            assert find_owner(documents, second) is None
            parsed = jsonc.decode(documents.stored.text, document.Document, "x")
            assert [k.id for k in parsed.organisations[0].keys] == [
                "k1",
                "k2",
                "k3",
            ]

    serving.run(check())


def find_owner(documents, secret):
    from poplarwick_administration import access

    owner = documents.view.find_key_owner(access.digest_token(secret))
    return owner.id if owner is not None else None
