"""Stand-ins for the cases of the review: store, backend, client, and gateways as processes."""
