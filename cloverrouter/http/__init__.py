"""HTTP/1.1 shared by the client proxy and the router: parsing, bodies, event streams, connections."""
