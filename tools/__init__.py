"""Development tools: the code generator and the test runner."""
