"""Writes one row of the table of rig/days/play.sh from the report of a played day."""

import json
import pathlib
import sys

NO_REPORT = "no report"


def last_line(path):
    """The last line that the bench printed, as the reason of a missing report."""
    lines = pathlib.Path(path).read_text(errors="replace").strip().splitlines()
    return lines[-1].replace("|", "/")[:120] if lines else "no output"


def verdict(report_path, output_path):
    """The broken rules with their counts, and the gate as this day shows it."""
    try:
        report = json.loads(pathlib.Path(report_path).read_text())
    except (OSError, ValueError):
        return NO_REPORT, last_line(output_path)
    broken = report["breaks"]
    rules = ", ".join(f"{rule} {count}" for rule, count in sorted(broken.items()))
    shortfalls = list(report["short"])
    if report["fault"]:
        shortfalls.append(report["fault"])
    if broken or shortfalls:
        gate = "failed" + "".join(f"; {shortfall}" for shortfall in shortfalls)
    else:
        gate = "passed"
    return rules or "none", gate


def main():
    report, site, day, seed, entry, output = sys.argv[1:]
    rules, gate = verdict(report, output)
    print(f"| {site} | {day} | {seed} | {rules} | {gate} | {entry} |")


main()
