"""The control plane: configuration, registrations, their distribution, and the API for operators and servers."""
