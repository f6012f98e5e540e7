"""Tests for the administration API over TLS."""

import contextlib
import ssl

import certificates
import fake_kv
import serving
from aiohttp import test_utils
from cryptography import x509
from cryptography.hazmat.primitives import hashes

from poplarwick_administration import access
from poplarwick_administration import api
from poplarwick_configuration import follower
from poplarwick_core import tls


@contextlib.asynccontextmanager
async def serve(files, operators=serving.OPERATORS):
    context = tls.TlsContext(
        files,
        ssl.Purpose.CLIENT_AUTH,
        require_peer=False,
        accept_peer=True,
    ).context
    kv = fake_kv.FakeKv()
    async with follower.Follower(kv, "trial") as documents:
        application = api.make_application(
            kv,
            documents,
            instance="i1",
            environment="trial",
            operators=operators,
            read_fleet=lambda: (),
        )
        server = test_utils.TestServer(application, scheme="https")
        await server.start_server(ssl=context)
        try:
            yield f"{server.host}:{server.port}"
        finally:
            await server.close()


def test_command_rejects_instance_with_certificate_of_other_authority(
    tmp_path,
):
    async def check():
        files = certificates.Authority("own").issue(tmp_path / "own", "i1")
        other = certificates.Authority("other").issue(tmp_path / "other", "i1")
        async with serve(files) as server:
            runner = serving.CommandRunner(tmp_path, server)
            code, out, _ = await runner.call(
                "status", "--authority", files.authority
            )
            assert code == 0
            assert "environment trial" in out
            code, _, err = await runner.call(
                "status", "--authority", other.authority
            )
            assert code == 1
            assert "certificate" in err.lower()
            code, _, _ = await runner.call("status")
            assert code == 1
            missing = tmp_path / "none.pem"
            code, _, _ = await runner.call("status", "--authority", missing)
            assert code == 2

    serving.run(check())


def digest(path):
    certificate = x509.load_pem_x509_certificate(path.read_bytes())
    return certificate.fingerprint(hashes.SHA256()).hex()


def test_client_certificate_replaces_token(tmp_path):
    async def check():
        authority = certificates.Authority("own")
        files = authority.issue(tmp_path / "instance", "i1")
        known = authority.issue(tmp_path / "known", "carla")
        unknown = authority.issue(tmp_path / "unknown", "dora")
        untrusted = certificates.Authority("other").issue(
            tmp_path / "stranger", "carla"
        )
        operator = access.Operator(
            "carla",
            access.Role.VIEWER,
            certificate_sha256=digest(known.certificate),
        )

        async def call(certificate_files, *words):
            return await runner.call(
                *words,
                "--authority",
                files.authority,
                "--certificate",
                certificate_files.certificate,
                "--certificate-key",
                certificate_files.key,
            )

        async with serve(files, (operator,)) as server:
            runner = serving.CommandRunner(tmp_path, server, token=None)
            code, out, _ = await call(known, "status")
            assert (code, "environment trial" in out) == (0, True)
            out_words = ("domain", "out", "d1", "--environment", "trial")
            code, _, err = await call(known, *out_words)
            assert code == 1
            assert "carla has the role viewer" in err
            code, _, err = await call(unknown, "status")
            assert (code, "certificate is required" in err) == (1, True)
            code, _, _ = await call(untrusted, "status")
            assert code == 1
            code, _, err = await runner.call(
                "status", "--authority", files.authority
            )
            assert (code, "certificate is required" in err) == (1, True)

    serving.run(check())
