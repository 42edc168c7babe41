"""Proofs of the promises: stateful fuzzing against a small oracle."""
