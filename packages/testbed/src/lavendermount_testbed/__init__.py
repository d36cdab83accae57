"""Test servers, fault injection and load generation for tests and benchmarks."""
