"""Measures how decision costs grow: ``python -m bench.slopes_decisions``.

Prints one line per size; docs/CAPACITY.md derives the target fleet size from them.
"""

from bench._cost import decision_us, queue_bytes

TARGETS = (30, 300, 1100)
WORKSPACES = (100, 1000, 10_000, 42_000)


def main() -> None:
    """Print processor time by targets, then memory by workspaces."""
    for targets in TARGETS:
        cost = decision_us(targets)
        print(
            f"slope decisions targets={targets} "
            f"request_us={cost['request_us']:.1f} token_us={cost['token_us']:.2f} "
            f"report_us={cost['report_us']:.2f} plan_ms={cost['plan_us'] / 1000:.1f}",
            flush=True,
        )
    for workspaces in WORKSPACES:
        memory = queue_bytes(workspaces)
        print(
            f"slope decisions workspaces={workspaces} "
            f"idle_mb={memory['idle_mb']:.2f} full_mb={memory['full_mb']:.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
