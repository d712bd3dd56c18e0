"""Small stand-ins for the cases: clients, servers, operator and node processes. Standard library only."""
