"""TLS contexts that reload their certificate files when these change."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import ssl
import types
from typing import Self

from poplarwick_core import errors
from poplarwick_core import logs

RELOAD_PERIOD_S = 5.0


class TlsError(errors.PoplarwickError):
    """A certificate file cannot be read or does not match its key."""


@dataclasses.dataclass(frozen=True, slots=True)
class CertificateFiles:
    """Paths of certificate files in PEM form.

    Attributes:
        certificate: Certificate chain of this process.
        key: Private key of this process.
        authority: Trusted CA certificates for the peer, or None.
    """

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path | None = None


class TlsContext:
    """Keeps an `ssl.SSLContext` up to date while this context manager is open.

    Args:
        files: Certificate files.
        purpose: Kind of peer that the context authenticates.
        require_peer: Whether the peer must present a certificate.
        accept_peer: Whether the peer may present a certificate, which must
            then chain to the authority.
        reload_period_s: Period in seconds at which the files are checked.

    Attributes:
        context: The TLS context.
    """

    def __init__(
        self,
        files: CertificateFiles,
        purpose: ssl.Purpose,
        *,
        require_peer: bool,
        accept_peer: bool = False,
        reload_period_s: float = RELOAD_PERIOD_S,
    ) -> None:
        self._files = files
        self._reload_period_s = reload_period_s
        self._task: asyncio.Task[None] | None = None
        self.context = _make_context(files, purpose, require_peer)
        if accept_peer and not require_peer:
            self.context.verify_mode = ssl.CERT_OPTIONAL
        self._loaded_mtimes = self._get_file_mtimes()

    async def __aenter__(self) -> Self:
        self._task = asyncio.create_task(self._reload_forever())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def reload_if_changed(self) -> bool:
        """Reloads the files if one of them has changed.

        New connections use the new certificate; open connections stay open.
        If the files do not match each other, the failure is logged and the
        reload is retried at the next check.

        Returns:
            Whether the files were reloaded.
        """
        mtimes = self._get_file_mtimes()
        if mtimes == self._loaded_mtimes:
            return False
        try:
            self.context.load_cert_chain(
                self._files.certificate, self._files.key
            )
            if self._files.authority is not None:
                self.context.load_verify_locations(self._files.authority)
        except (OSError, ssl.SSLError) as error:
            logs.log_event("certificate_reload_failed", "ERROR", reason=error)
            return False
        self._loaded_mtimes = mtimes
        logs.log_event("certificate_reloaded", file=self._files.certificate)
        return True

    def _get_file_mtimes(self) -> tuple[int, ...]:
        paths = (
            self._files.certificate,
            self._files.key,
            self._files.authority,
        )
        mtimes = []
        for path in paths:
            try:
                mtimes.append(path.stat().st_mtime_ns if path else 0)
            except OSError:
                mtimes.append(-1)
        return tuple(mtimes)

    async def _reload_forever(self) -> None:
        while True:
            await asyncio.sleep(self._reload_period_s)
            self.reload_if_changed()


def _make_context(
    files: CertificateFiles, purpose: ssl.Purpose, require_peer: bool
) -> ssl.SSLContext:
    context = ssl.create_default_context(purpose)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(files.certificate, files.key)
        if files.authority is not None:
            context.load_verify_locations(files.authority)
    except (OSError, ssl.SSLError) as error:
        raise TlsError(f"{files.certificate}: {error}") from error
    # Instances are addressed by IP, so host names are not checked. A peer is
    # authenticated by its certificate authority alone.
    context.check_hostname = False
    if require_peer:
        context.verify_mode = ssl.CERT_REQUIRED
    return context
