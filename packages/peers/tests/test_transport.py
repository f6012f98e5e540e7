"""Tests for mutual TLS between instances."""

import asyncio
import socket
import ssl

import certificates
import pytest
from grpclib import exceptions

from poplarwick_core import tls
from poplarwick_peers import transport
from poplarwick_peers.wire import heartbeat_grpc
from poplarwick_peers.wire import heartbeat_pb2

TIMEOUT_S = 5.0


class HeartbeatService(heartbeat_grpc.HeartbeatServiceBase):
    async def Ping(self, stream):  # noqa: N802
        await stream.recv_message()
        await stream.send_message(
            heartbeat_pb2.PingReply(configuration_version=7)
        )

    async def Probe(self, stream):  # noqa: N802
        await stream.recv_message()


def find_free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make_server_context(files):
    return tls.TlsContext(files, ssl.Purpose.CLIENT_AUTH, require_peer=True)


def make_client_context(files):
    return tls.TlsContext(files, ssl.Purpose.SERVER_AUTH, require_peer=True)


async def ping(address, context):
    async with transport.ChannelPool(context) as channels:
        stub = heartbeat_grpc.HeartbeatServiceStub(channels.get(address))
        return await stub.Ping(heartbeat_pb2.PingRequest(), timeout=TIMEOUT_S)


async def serve_and_ping(server_context, client_context):
    address = find_free_address()
    services = (HeartbeatService(),)
    async with transport.PeerServer(address, services, server_context):
        reply = await ping(address, client_context)
    return reply.configuration_version


def test_peer_with_a_certificate_of_the_authority_is_accepted(tmp_path):
    authority = certificates.Authority("fleet")
    server = make_server_context(authority.issue(tmp_path / "a", "a"))
    client = make_client_context(authority.issue(tmp_path / "b", "b"))
    assert asyncio.run(serve_and_ping(server.context, client.context)) == 7


def test_peer_with_a_certificate_of_another_authority_is_rejected(tmp_path):
    authority = certificates.Authority("fleet")
    files = authority.issue(tmp_path / "a", "a")
    foreign = certificates.Authority("foreign").issue(tmp_path / "b", "b")
    client = tls.CertificateFiles(
        foreign.certificate, foreign.key, files.authority
    )
    with pytest.raises((*transport.CALL_ERRORS, ssl.SSLError)):
        asyncio.run(
            serve_and_ping(
                make_server_context(files).context,
                make_client_context(client).context,
            )
        )


def test_peer_without_a_certificate_is_rejected(tmp_path):
    files = certificates.Authority("fleet").issue(tmp_path / "a", "a")
    context = ssl.create_default_context(cafile=files.authority)
    context.check_hostname = False
    with pytest.raises((*transport.CALL_ERRORS, ssl.SSLError)):
        asyncio.run(serve_and_ping(make_server_context(files).context, context))


def test_peer_without_tls_is_rejected(tmp_path):
    files = certificates.Authority("fleet").issue(tmp_path / "a", "a")
    with pytest.raises(
        (exceptions.StreamTerminatedError, OSError, TimeoutError)
    ):
        asyncio.run(serve_and_ping(make_server_context(files).context, None))


def test_replaced_certificate_is_reloaded_without_restart(tmp_path):
    authority = certificates.Authority("fleet")
    server = make_server_context(authority.issue(tmp_path / "a", "old"))
    client = make_client_context(authority.issue(tmp_path / "b", "b"))
    assert not server.reload_if_changed()
    authority.issue(tmp_path / "a", "new")
    assert server.reload_if_changed()
    assert asyncio.run(serve_and_ping(server.context, client.context)) == 7


def test_invalid_certificate_file_keeps_the_loaded_certificate(tmp_path):
    authority = certificates.Authority("fleet")
    files = authority.issue(tmp_path / "a", "old")
    server = make_server_context(files)
    client = make_client_context(authority.issue(tmp_path / "b", "b"))
    files.certificate.write_text("half")
    assert not server.reload_if_changed()
    assert asyncio.run(serve_and_ping(server.context, client.context)) == 7


def test_missing_key_file_raises_an_error(tmp_path):
    files = certificates.Authority("fleet").issue(tmp_path / "a", "a")
    files.key.unlink()
    with pytest.raises(tls.TlsError):
        make_server_context(files)
