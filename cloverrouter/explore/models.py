"""The control-plane models that `explore --scope` offers, by name. Each model module adds its own table."""

from __future__ import annotations

from cloverrouter.explore.coordination import (
    credit_scopes,
    distribution_scopes,
    lease_scopes,
    orders_scopes,
    registry_scopes,
)
from cloverrouter.explore.coordination.scope import ModelFault, ModelScope
from cloverrouter.explore.coordination.scopes import SCOPES as REPLICA_SCOPES

MODELS: dict[str, ModelScope] = {
    **REPLICA_SCOPES,
    **orders_scopes.SCOPES,
    **distribution_scopes.SCOPES,
    **lease_scopes.SCOPES,
    **credit_scopes.SCOPES,
    **registry_scopes.SCOPES,
}


def faults() -> dict[str, ModelFault]:
    """Returns the seeded faults of all models, by name."""
    return {name: fault for scope in MODELS.values() for name, fault in scope.faults.items()}
