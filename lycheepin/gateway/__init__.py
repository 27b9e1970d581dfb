"""The gateway: forwards callers' HTTP requests to endpoints that speak plain HTTP."""
