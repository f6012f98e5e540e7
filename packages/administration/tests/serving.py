"""Administration API on a loopback address, and a command runner."""

import asyncio
import contextlib
import io

from aiohttp import test_utils

from poplarwick_administration import access
from poplarwick_administration import api
from poplarwick_administration import main
from poplarwick_administration import messages
from poplarwick_configuration import follower

TIMEOUT_S = 30
OPERATORS = (
    access.Operator(
        "anna", access.Role.OPERATOR, access.digest_token("secret")
    ),
    access.Operator("bert", access.Role.VIEWER, access.digest_token("seen")),
)


def run(coroutine):
    asyncio.run(asyncio.wait_for(coroutine, TIMEOUT_S))


@contextlib.asynccontextmanager
async def serve(client, environment="trial", **options):
    """Serves the API of one instance and yields its address and follower."""
    async with follower.Follower(client, environment) as documents:

        def read_fleet():
            return (
                messages.InstanceMessage(
                    instance="i1",
                    domain="d1",
                    region="r1",
                    state="alive",
                    version=documents.version,
                ),
            )

        application = api.make_application(
            client,
            documents,
            instance="i1",
            environment=environment,
            operators=OPERATORS,
            read_fleet=read_fleet,
            **options,
        )
        async with test_utils.TestServer(application) as server:
            yield f"{server.host}:{server.port}", documents


class CommandRunner:
    """Runs commands of the operator command line against one address."""

    def __init__(self, folder, server, token="secret"):
        self._server = server
        self._token_file = None
        if token is not None:
            self._token_file = folder / f"token-{token}"
            self._token_file.write_text(token + "\n")

    async def call(self, *arguments, stdin=""):
        """Runs a command and returns exit code, stdout and stderr."""
        options = ["--server", self._server]
        if self._token_file is not None:
            options += ["--token-file", self._token_file]
        words = [str(word) for word in (*arguments, *options)]
        return await asyncio.to_thread(self._run, words, stdin)

    def _run(self, words, stdin):
        out, err = io.StringIO(), io.StringIO()
        stdin_stream = io.StringIO(stdin)
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            _redirect_stdin(stdin_stream),
        ):
            code = main.main(words)
        return int(code), out.getvalue(), err.getvalue()


@contextlib.contextmanager
def _redirect_stdin(replacement):
    import sys

    original, sys.stdin = sys.stdin, replacement
    try:
        yield
    finally:
        sys.stdin = original
