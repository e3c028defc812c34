"""Computes the figures of a scenario and writes tables, aims and plots."""

import os
import subprocess

import sample

DOCS = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..",
                    "docs")
PAGE_PATH = os.path.join(DOCS, "bench.md")
# The text of the page from this heading on is written by hand and preserved.
FINDINGS_HEADING = "## Findings"
OWNER_POLICY = "owner"
OWNER_HEDGE_POLICY = "owner+hedge"
SERVICE_OF = {"slot-check": "booking", "confirm": "booking",
              "history": "records", "archive": "records", "slip": "slipdesk",
              "filing": "slipdesk", "drawer": "drawerstore"}
KEYED_KINDS = ("confirm", "filing")
AIM_ADDED_MS = 1.3
AIM_CORE_PERCENT = 3.8
AIM_MEMORY_MB = 64
AIM_CONTROL_KB_PER_S = 16


def mix_of(deployment):
    # Returns the weight of each kind of request.
    return {kind: float(weight) for kind, weight in (
        part.split("=") for part in deployment.mix.split(","))}


def percentile(sorted_times_us, per_mille):
    # Returns a percentile in ms, by nearest rank; NaN without times.
    if not sorted_times_us:
        return float("nan")
    return sorted_times_us[
        -(-len(sorted_times_us) * per_mille // 1000) - 1] / 1000


def figures(records, from_us, to_us, before, after, stats, stats_after):
    """Returns the figures of the requests that started between two times.
    Response times are in ms at the caller and include the client's delay."""
    measured = [record for record in records
                if from_us <= record["start_us"] < to_us]
    whole = [record for record in measured if record["outcome"] == "whole"]
    refused = [record for record in measured
               if record["outcome"].startswith("refused")]
    sorted_times_us = sorted(r["end_us"] - r["start_us"] for r in whole)
    reads = sorted(r["end_us"] - r["start_us"] for r in whole
                   if r["kind"] not in KEYED_KINDS)
    names = [name for name in after if name in before]

    def rate_per_instance(name, key):
        """Returns the mean rate of a metric per instance and second."""
        rates = [(sample.total(after[n]["metrics"], key)
                  - sample.total(before[n]["metrics"], key))
                 / (after[n]["at"] - before[n]["at"]) for n in names]
        return sum(rates) / len(rates)

    def core_percent(key):
        # Returns the mean CPU use of an instance in per cent of a core.
        shares = [100 * (after[n][key] - before[n][key])
                  / (after[n]["at"] - before[n]["at"]) for n in names]
        return sum(shares) / len(shares)

    completed = {}
    for record in records:
        if (record["outcome"] == "whole"
                and from_us <= record["end_us"] < to_us):
            service = SERVICE_OF[record["kind"]]
            completed[service] = completed.get(service, 0) + 1
    return {
        "requests": len(measured), "whole": len(whole),
        "refused": len(refused),
        "other": len(measured) - len(whole) - len(refused),
        "p50": percentile(sorted_times_us, 500),
        "p99": percentile(sorted_times_us, 990),
        "p999": percentile(sorted_times_us, 999),
        "reads_p99": percentile(reads, 990),
        "over": max(s["max_over_bearing"] for s in stats_after.values()),
        "cold": sum(s["cold_overloads"] for s in stats_after.values())
        - sum(s["cold_overloads"] for s in stats.values()),
        "messages": rate_per_instance("", "peridot_peer_messages_sent_total"),
        "control_kb": rate_per_instance(
            "", "peridot_control_bytes_total") / 1024,
        "core": core_percent("cpu"),
        "control_core": core_percent("control_cpu"),
        "memory_mb": max(after[n]["resident"] for n in names) / 2 ** 20,
        "added_p99": sample.added_p99_ms(
            {n: before[n] for n in names}, {n: after[n] for n in names}),
        "done": completed, "seconds": (to_us - from_us) / 1e6}


def capacity_share(values, deployment, capacity):
    """Returns the responses/s of the deployment's first service, which is the
    one with the least capacity, in per cent of its capacity."""
    mix = mix_of(deployment)
    service = deployment.services[0].name
    weight = sum(w for kind, w in mix.items() if SERVICE_OF[kind] == service)
    service_capacity = capacity * weight / sum(mix.values())
    return 100 * values["done"].get(service, 0) / values["seconds"] \
        / service_capacity


def format_number(value, digits=1):
    return "-" if value is None or value != value else f"{value:.{digits}f}"


COLUMNS = (
    ("policy", lambda f: f["policy"]),
    ("p50", lambda f: format_number(f["p50"])),
    ("p99", lambda f: format_number(f["p99"])),
    ("p99.9", lambda f: format_number(f["p999"])),
    ("p99 reads", lambda f: format_number(f["reads_p99"])),
    ("requests", lambda f: str(f["requests"])),
    ("whole", lambda f: str(f["whole"])),
    ("refused", lambda f: str(f["refused"])),
    ("other", lambda f: str(f["other"])),
    ("capacity used %", lambda f: format_number(f["share"], 0)),
    ("most above", lambda f: str(f["over"])),
    ("cold overloads", lambda f: str(f["cold"])),
    ("added p99", lambda f: format_number(f["added_p99"], 2)),
    ("messages/s", lambda f: format_number(f["messages"], 0)),
    ("control KB/s", lambda f: format_number(f["control_kb"])),
    ("core %", lambda f: format_number(f["core"])),
    ("control core %", lambda f: format_number(f["control_core"])),
    ("memory MB", lambda f: format_number(f["memory_mb"], 0)))


def short_line(values):
    return " ".join([values["deployment"], f"[{values['scenario']}]"] + [
        f"{name}={text(values)}" for name, text in COLUMNS])


def table(rows):
    lines = ["| " + " | ".join(name for name, _ in COLUMNS) + " |",
             "|" + "|".join("---" if i == 0 else "---:"
                            for i in range(len(COLUMNS))) + "|"]
    lines += ["| " + " | ".join(text(row) for _, text in COLUMNS) + " |"
              for row in rows]
    return "\n".join(lines)


def groups(rows):
    """Returns the rows of each deployment and scenario, in the order in which
    they ran."""
    found = {}
    for row in rows:
        found.setdefault((row["deployment"], row["scenario"]), []).append(row)
    return found


def aims(rows):
    """Returns (aim, met, evidence) for each aim of section 1 of the design
    page."""
    owner_rows = [row for row in rows
                  if row["policy"] in (OWNER_POLICY, OWNER_HEDGE_POLICY)]
    if not owner_rows:
        return []

    def describe_scenario(row):
        return f"{row['deployment']}, {row['scenario']}"

    def worst(key, selected_rows=owner_rows):
        return max(selected_rows, key=lambda row: row[key])

    lines = []
    over = worst("over")
    above = [describe_scenario(row) for row in owner_rows if row["over"] > 0]
    lines.append(("no endpoint above what it bears", over["over"] <= 0,
                  f"most above: {over['over']} ({describe_scenario(over)}); "
                  f"above in {len(above)} of {len(owner_rows)} scenarios"
                  + (": " + "; ".join(above) if above else "")))
    for (deployment, scenario), selected_rows in groups(rows).items():
        if scenario not in ("noisy neighbours", "endpoints turn cold"):
            continue
        others = [row for row in selected_rows if row not in owner_rows]
        if not others:
            continue
        best = min(others, key=lambda row: row["p99"])
        for row in selected_rows:
            if row not in owner_rows:
                continue
            lines.append((f"p99 at most half of the best baseline's, "
                          f"{deployment}, {scenario}, {row['policy']}",
                          row["p99"] <= best["p99"] / 2,
                          f"{row['p99']:.1f} ms; {best['policy']} "
                          f"{best['p99']:.1f} ms"))
    for row in owner_rows:
        if row["scenario"].startswith("steady"):
            lines.append((f"at most {AIM_ADDED_MS} ms added at p99, "
                          f"{describe_scenario(row)}",
                          row["added_p99"] <= AIM_ADDED_MS,
                          f"{row['added_p99']:.2f} ms"))
        if row["scenario"] == "callers at 150%":
            lines.append((f"at least 95% of capacity answered at 150%, "
                          f"{row['deployment']}", row["share"] >= 95,
                          f"{row['share']:.0f}%"))
    for aim, key, limit, digits in (
            ("% of a core", "control_core", AIM_CORE_PERCENT, 1),
            ("MB", "memory_mb", AIM_MEMORY_MB, 0),
            ("KB/s", "control_kb", AIM_CONTROL_KB_PER_S, 1)):
        row = worst(key)
        lines.append((f"control within {limit} {aim}", row[key] <= limit,
                      f"most: {row[key]:.{digits}f} "
                      f"({describe_scenario(row)})"))
    return lines


def page(head, rows):
    rates = [row["rate"] for row in rows]
    lines = [
        "# Benchmark", "",
        f"Command `{head['command']}`, seed {head['seed']}, "
        f"{head['date']}, commit {head['commit']}, {head['seconds']} s. "
        f"Load average of the machine {head['load_before']:.1f} before and "
        f"{head['load_after']:.1f} after; other work ran beside it.", "",
        "Real processes on loopback: the platform and backend stand-ins, 12 "
        "instances of each deployment, and callers in each data centre; 1.5 "
        "ms are added to messages between instances of different data "
        "centres. Service times are log-normal and "
        f"{head['stretch']} times those of the deployments, 10 times for "
        "kalamansi's callers at 150%, so that the rate "
        f"({min(rates):.0f} to {max(rates):.0f} requests/s in all) suits the "
        "machine. Capacity is slots / mean service time of the scarcer "
        "service. A scenario lasts "
        f"{(head['kept_ms'] + head['lead_ms']) / 1000:.1f} s, of which the "
        f"first {head['lead_ms']} ms are left out. The baselines run in the "
        "same daemon (setting `policy`): they keep no idempotency keys and "
        "ask no owner, but do exchange heartbeats.", "",
        "Times are ms at the caller with the client's delay. `p99 reads` "
        "leaves confirmations and filings out. `other` are timeouts and "
        "broken answers. `capacity used` is the rate of answers of booking "
        "or slipdesk against what its slots bear. `most above` is the most "
        "work at once on one endpoint above its slots, or above 1 while it "
        "is cold. `added p99` is the metric peridot_added_seconds, linear "
        "within a bucket; it contains the wait for a slot and the body's "
        "transfer. Messages, bytes (sent and received), CPU and memory are "
        "of one instance, memory of the largest. Control threads are those "
        "that serve no HTTP connection.", "",
        "## Aims", "", "| aim | met | figures |", "|---|---|---|"]
    lines += [f"| {aim} | {'yes' if met else 'no'} | {evidence} |"
              for aim, met, evidence in aims(rows)]
    for (deployment, scenario), selected_rows in groups(rows).items():
        lines += ["", f"## {deployment}: {scenario}", "",
                  f"{selected_rows[0]['rate']:.0f} requests/s offered, "
                  f"capacity {selected_rows[0]['capacity']:.0f}.", "",
                  table(selected_rows)]
    return "\n".join(lines) + "\n"


def plot(name, title, label, rows, key, logarithmic):
    """Plots bars in clusters: a cluster for each scenario, a bar for each
    policy."""
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    data = ["scenario " + " ".join(policies)]
    for (_, scenario), selected_rows in groups(rows).items():
        by_policy = {row["policy"]: row[key] for row in selected_rows}
        words = scenario.replace(" ", "\\n", 1)
        data.append(f'"{words}" ' + " ".join(
            format_number(by_policy.get(policy), 2) for policy in policies))
    script = "\n".join(
        ["$data << END"] + data + ["END",
         "set terminal svg size 1200,420 font 'sans,11' background 'white'",
         f"set output '{os.path.join(DOCS, name)}'",
         f"set title '{title}'", f"set ylabel '{label}'",
         "set style data histograms", "set style histogram clustered gap 2",
         "set style fill solid 0.8 noborder", "set grid ytics",
         "set key outside right top", "set datafile missing '-'",
         "set xtics scale 0 offset 0,0.2", "set bmargin 3",
         "set logscale y" if logarithmic else "set yrange [0:*]",
         f"plot for [i=2:{len(policies) + 1}] $data using i:xtic(1) "
         "title columnheader(i)"])
    subprocess.run(["gnuplot"], input=script + "\n", text=True, check=True)


def write(rows, text):
    # Writes the plots and the page, whose findings it preserves.
    findings = ""
    if os.path.exists(PAGE_PATH):
        with open(PAGE_PATH, encoding="utf-8") as file:
            findings = file.read().partition(FINDINGS_HEADING)
        findings = "\n" + findings[1] + findings[2] if findings[1] else ""
    plots = []
    for deployment in dict.fromkeys(row["deployment"] for row in rows):
        selected_rows = [row for row in rows
                         if row["deployment"] == deployment]
        for key, label, logarithmic in (("p99", "p99 in ms", True),
                                        ("whole", "whole answers", False)):
            name = f"bench-{deployment}-{key}.svg"
            plot(name, f"{deployment}: {label}", label, selected_rows, key,
                 logarithmic)
            plots.append(f"![{deployment}: {label}]({name})")
    with open(PAGE_PATH, "w", encoding="utf-8") as file:
        file.write(text + "\n## Plots\n\n" + "\n\n".join(plots) + "\n"
                   + findings)
