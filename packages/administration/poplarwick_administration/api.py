"""Administration API over HTTP."""

from __future__ import annotations

from aiohttp import web

from poplarwick_administration import _changes
from poplarwick_administration import _documents
from poplarwick_administration import _guard
from poplarwick_administration import _organisations
from poplarwick_administration import _service
from poplarwick_administration import access
from poplarwick_administration import housekeeping
from poplarwick_administration import openapi
from poplarwick_configuration import compaction
from poplarwick_configuration import drain_controller
from poplarwick_configuration import exchange
from poplarwick_configuration import follower
from poplarwick_platform import kv

MAX_BODY_BYTES = 4_000_000


def make_application(
    client: kv.KvClient,
    documents: follower.Follower,
    *,
    instance: str,
    environment: str,
    operators: tuple[access.Operator, ...],
    read_fleet: _service.FleetReader,
    peers: exchange.Exchange | None = None,
    limiter: _guard.RateLimiter | None = None,
) -> web.Application:
    """Returns the administration API of one instance.

    Args:
        client: Client of the key-value service.
        documents: Follower of the configuration of `environment`.
        instance: Id of the instance.
        environment: Environment that the instance follows.
        operators: Callers who may use the API in addition to the
            administrators of organisations.
        read_fleet: Returns the state of all known instances.
        peers: Forwards drain marks to other instances during an outage of the
            key-value service.
        limiter: Limits the rate of calls of each caller.
    """
    change_handler = _changes.ChangeHandler(client)
    controller = drain_controller.DrainController(
        client, environment, documents, peers
    )
    guard = _guard.Guard(operators, documents, limiter or _guard.RateLimiter())
    handlers = _map_handlers(
        _documents.DocumentHandlers(change_handler),
        _organisations.OrganisationHandlers(change_handler),
        _service.ServiceHandlers(
            change_handler,
            controller,
            documents,
            instance,
            environment,
            read_fleet,
        ),
    )
    application = web.Application(
        client_max_size=MAX_BODY_BYTES,
        middlewares=[guard.handle_errors, guard.admit],
    )
    for operation in openapi.OPERATIONS:
        application.router.add_route(
            operation.method, operation.path, handlers[operation.operation_id]
        )
    housekeeper = housekeeping.Housekeeper(
        documents,
        change_handler.open_store(environment),
        compaction.Compactor(client, environment),
        instance,
        read_fleet,
    )
    application.cleanup_ctx.append(housekeeper.run_with_application)
    return application


def _map_handlers(
    documents: _documents.DocumentHandlers,
    organisations: _organisations.OrganisationHandlers,
    services: _service.ServiceHandlers,
) -> dict[str, _guard.Handler]:
    return {
        "put_document": documents.put_document,
        "get_document": documents.get_document,
        "roll_back": documents.roll_back,
        "promote": documents.promote,
        "preview_promotion": documents.preview_promotion,
        "get_audit": documents.get_audit,
        "get_section": organisations.get_section,
        "put_section": organisations.put_section,
        "issue_key": organisations.issue_key,
        "revoke_key": organisations.revoke_key,
        "take_out": services.take_out,
        "put_in": services.put_in,
        "get_status": services.get_status,
        "get_description": openapi.get_description,
    }
