"""Connections on which only well-formed responses are parsed."""

from __future__ import annotations

import functools
from typing import Any

import aiohttp
from aiohttp import client_proto
from aiohttp import http_exceptions

from poplarwick_platform import response_syntax


class CheckedResponseHandler(client_proto.ResponseHandler):
    """Fails a request whose response is no proper HTTP/1."""

    _check: response_syntax.ResponseCheck | None = None

    def set_response_params(self, **options: Any) -> None:
        """Begins the response to the next request on the connection."""
        self._check = response_syntax.ResponseCheck(
            has_body=not options.get("skip_payload", False)
        )
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Checks bytes and parses them.

        aiohttp calls it without bytes to go on after a reader has paused.
        """
        if self._check is None:
            # No request has been sent on the connection.
            super().data_received(data)
            return
        try:
            checked = self._check.feed(data)
        except response_syntax.ResponseSyntaxError as error:
            # A body that has begun is then incomplete.
            self.set_exception(http_exceptions.BadHttpMessage(str(error)))
            if self.transport is not None:
                self.transport.close()
            return
        if checked or not data:
            super().data_received(checked)


def check_responses(session: aiohttp.ClientSession) -> aiohttp.ClientSession:
    """Lets all connections of a session check responses, and returns it."""
    connector = session.connector
    assert connector is not None
    # aiohttp has no public option for the protocol of its connections;
    # test_response_heads.py checks that the private one works.
    factory: Any = functools.partial(
        CheckedResponseHandler, loop=connector._loop
    )
    connector._factory = factory
    return session
