"""HTTP/1.1 client: connections to endpoints, pooling, and short calls to the store and peers."""
