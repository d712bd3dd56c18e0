"""HTTP/1.1 client and server shared by the client proxy and the router."""
