"""Index of the instances that own endpoints, by model or plain service."""

from __future__ import annotations

from collections.abc import Callable

from poplarwick_configuration import document
from poplarwick_core import clock
from poplarwick_core import ids
from poplarwick_node import _resources
from poplarwick_ownership import leases

MAX_AGE_S = 0.5


class OwnerIndex:
    """Groups the owners of endpoints by the model or service they serve.

    The index is rebuilt when it is older than `MAX_AGE_S`. An outdated entry
    costs a request one more round trip but never causes a wrong admission.

    Args:
        read_view: Returns the configuration in force, or None.
        owner: Ownership as last read from the key-value service.
    """

    def __init__(
        self,
        read_view: Callable[[], document.View | None],
        owner: leases.LeaseOwnership,
    ) -> None:
        self._read_view = read_view
        self._owner = owner
        self._owners: dict[str, frozenset[ids.InstanceId]] = {}
        self._built_s = float("-inf")

    def find(self, model: str, service: str) -> frozenset[ids.InstanceId]:
        """Returns the instances that own endpoints of a model or service.

        Args:
            model: Name of the model; empty for a plain service.
            service: Name of the plain service; empty for a model.
        """
        now_s = clock.now_s()
        if now_s - self._built_s > MAX_AGE_S:
            self._built_s = now_s
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
        return {key: frozenset(instances) for key, instances in grouped.items()}


def _make_key(model: str, service: str) -> str:
    return f"model/{model}" if model else f"service/{service}"
