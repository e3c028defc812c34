"""Reads the journal of the users' benchmark and prints a table for each site
with the score of each standard day in each round; plots the means.

usage: journal.py JOURNAL-DIRECTORY SVG-FILE"""

import collections
import glob
import json
import os
import subprocess
import sys


def read_rounds(folder):
    """Returns the scored rounds of each site in order of time, as pairs of the
    journal entry and its standard days by name."""
    rounds = collections.defaultdict(list)
    for path in sorted(glob.glob(os.path.join(folder, "*.json"))):
        with open(path, encoding="utf-8") as file:
            entry = json.load(file)
        if entry["cmd"] != "score" or not entry["days"]:
            continue
        days = {day["name"]: day for day in entry["days"]
                if not day["name"].startswith("fresh")}
        rounds[entry["site"]].append((entry, days))
    return rounds


def mean(days):
    return sum(day["G"] for day in days.values()) / len(days)


def print_site(site, rounds):
    day_names = sorted({n for _, days in rounds for n in days})
    print(f"\n## {site}\n\nWorth before rules; `!` marks a day that broke "
          "one.\n")
    print("| run | why | mean | " + " | ".join(day_names) + " |")
    print("|---|---|---:|" + "---:|" * len(day_names))
    for entry, days in rounds:
        cells = [f"{days[n]['G']:.3f}{'!' if days[n]['rules'] else ''}"
                 if n in days else "" for n in day_names]
        why = entry["why"].replace("|", "/")
        print(f"| {entry['id']} | {why} | {mean(days):.3f} | "
              + " | ".join(cells) + " |")


def draw(rounds, path):
    script = ["set terminal svg size 700,380", f"set output '{path}'",
              "set key bottom right", "set xlabel 'score run'",
              "set ylabel 'mean worth of the standard days'",
              "plot " + ", ".join(
                  f"'-' using 1:2 with linespoints title '{site}'"
                  for site in rounds)]
    for entries in rounds.values():
        script += [f"{i + 1} {mean(days):.4f}"
                   for i, (_, days) in enumerate(entries)] + ["e"]
    subprocess.run(["gnuplot"], input="\n".join(script), text=True,
                   check=True)


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    rounds = read_rounds(sys.argv[1])
    print("# Rounds on the users' bench\n\nMade by `make journal-report` from "
          "journal/.\n\n![mean worth](rounds.svg)")
    for site, entries in sorted(rounds.items()):
        print_site(site, entries)
    draw(rounds, sys.argv[2])


if __name__ == "__main__":
    main()
