"""Runs the long soak: ``python -m proofs.router_soak --seeds 50 --first 100``.

Each seed is a separate run.  Violations are printed with their seed, and the logs of
its routers stay in the folder that is printed.  ``--faults changes`` plays only changes
of the configuration, with slow links.
"""

import sys
import tempfile
from pathlib import Path

import click
import trio

from proofs._router_soak import HOSTS, PORTS_PER_HOST, Soak
from proofs._soak_plans import PLANS
from standins.ports import free_ports


@click.command()
@click.option("--seeds", type=int, default=50)
@click.option("--first", type=int, default=1)
@click.option("--hosts", type=int, default=HOSTS)
@click.option("--seconds", type=float, default=10.0, help="Faults of one run.")
@click.option("--faults", type=click.Choice(list(PLANS)), default="faults")
def main(seeds: int, first: int, hosts: int, seconds: float, faults: str) -> None:
    """Run seeds one after the other, and print what breaks."""
    failed = 0
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        ports = free_ports(hosts * PORTS_PER_HOST)
        findings = trio.run(Soak(seed, folder, ports, seconds, PLANS[faults]).run)
        failed += bool(findings.violations)
        calls = sum(findings.statuses.values())
        click.echo(
            f"seed {seed}: {calls} calls, {len(findings.faults)} faults,"
            f" {findings.crashes} crashes, {findings.limits} limits,"
            f" {findings.excused} cuts excused, {findings.doubled} answers doubled,"
            f" {findings.reads[0]} of {findings.reads[1]} reads served,"
            f" queued {findings.queued_s:.2f} s,"
            f" late by {findings.late_s:.3f} s,"
            f" {folder.name}"
        )
        for line in findings.violations[:10]:
            click.echo(f"  broken: {line}")
    click.echo(f"{seeds} seeds, {failed} with a broken promise")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
