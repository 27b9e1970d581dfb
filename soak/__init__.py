"""A fault soak of the gateway: random faults by seed, and the promises checked all the while."""
