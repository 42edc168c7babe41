"""Benchmarks of the scheduling decisions and of the cost of each mechanism."""
