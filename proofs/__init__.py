"""Stateful fuzz tests that check the system's guarantees against small oracles."""
