"""The request path in front of endpoints that speak plain HTTP: callers in, endpoints out."""
