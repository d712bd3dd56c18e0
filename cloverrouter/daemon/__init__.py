"""One process of the system: settings, control plane, data plane, readiness and signals."""
