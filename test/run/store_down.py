"""Failures while the store refuses connections."""

from harness import main
from outage import run_outage

main(lambda run: run_outage(run, True))
