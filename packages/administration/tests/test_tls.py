"""Tests for the administration API behind TLS."""

import contextlib
import ssl

import certificates
import fake_kv
import serving
from aiohttp import test_utils

from poplarwick_administration import api
from poplarwick_configuration import follower


@contextlib.asynccontextmanager
async def serve(certificate, key):
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(certificate, key)
    kv = fake_kv.FakeKv()
    async with follower.Follower(kv, "trial") as documents:
        application = api.make_application(
            kv,
            documents,
            instance="i1",
            environment="trial",
            operators=serving.OPERATORS,
            read_fleet=lambda: (),
        )
        server = test_utils.TestServer(application, scheme="https")
        await server.start_server(ssl=context)
        try:
            yield f"{server.host}:{server.port}"
        finally:
            await server.close()


def test_command_talks_only_to_an_instance_that_the_authority_vouches_for(
    tmp_path,
):
    async def check():
        files = certificates.Authority("own").issue(tmp_path / "own", "i1")
        other = certificates.Authority("other").issue(tmp_path / "other", "i1")
        async with serve(files.certificate, files.key) as server:
            shell = serving.Shell(tmp_path, server)
            code, out, _ = await shell.call(
                "status", "--authority", files.authority
            )
            assert code == 0
            assert "environment trial" in out
            code, _, err = await shell.call(
                "status", "--authority", other.authority
            )
            assert code == 1
            assert "certificate" in err.lower()
            code, _, _ = await shell.call("status")
            assert code == 1
            missing = tmp_path / "none.pem"
            code, _, _ = await shell.call("status", "--authority", missing)
            assert code == 2

    serving.run(check())
