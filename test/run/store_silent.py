"""Failures while the store accepts connections and never responds."""

from harness import main
from outage import run_outage

main(lambda run: run_outage(run, "silent"))
