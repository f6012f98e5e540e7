"""Which instances own the endpoints of a model or plain service."""

from __future__ import annotations

from collections.abc import Callable

from poplarwick_configuration import document
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_node import _resources
from poplarwick_ownership import leases

MAX_AGE_S = 0.5


class OwnerIndex:
    """Groups the owners of endpoints by what the endpoints serve.

    The index is made again when it is older than `MAX_AGE_S`; a late answer
    costs a request one more exchange, never a wrong admission.

    Args:
        read_view: Returns the configuration in force, or None.
        owner: Knows the owners, as far as told by the key-value service.
    """

    def __init__(
        self,
        read_view: Callable[[], document.View | None],
        owner: leases.LeaseOwnership,
    ) -> None:
        self._read_view = read_view
        self._owner = owner
        self._owners: dict[str, frozenset[ids.InstanceId]] = {}
        self._made_s = float("-inf")

    def find(self, model: str, service: str) -> frozenset[ids.InstanceId]:
        """Returns the owners of a model's or a service's endpoints.

        Args:
            model: Model; empty for a plain service.
            service: Plain service; empty for a model.
        """
        now_s = clock.now_s()
        if now_s - self._made_s > MAX_AGE_S:
            self._made_s = now_s
            self._owners = self._group()
        return self._owners.get(_make_key(model, service), frozenset())

    def _group(self) -> dict[str, frozenset[ids.InstanceId]]:
        view = self._read_view()
        if view is None:
            return {}
        grouped: dict[str, set[ids.InstanceId]] = {}
        for resource in _resources.list_endpoints(view):
            instance = self._owner.find_owner(resource)
            endpoint = view.find_endpoint(ids.EndpointId(resource.id))
            if instance is None or endpoint is None:
                continue
            key = _make_key(endpoint.model or "", endpoint.service or "")
            grouped.setdefault(key, set()).add(instance)
        return {key: frozenset(found) for key, found in grouped.items()}


def _make_key(model: str, service: str) -> str:
    return f"model/{model}" if model else f"service/{service}"
