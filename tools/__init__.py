"""Developers' tools: code generation and the test runner."""
