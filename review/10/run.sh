#!/bin/sh
# Plays the case; writes what was sent, answered and run to record.txt here.
cd "$(dirname "$0")" && exec python3 case.py
