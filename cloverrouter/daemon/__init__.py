"""One process of the system put together: settings, roles, readiness, signals."""
