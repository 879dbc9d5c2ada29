#!/usr/bin/env python3
"""Measures how instructions and memory grow with size, and prints a table of fitted slopes.

Callgrind counts the instructions, the allocator the bytes. Each row fits
measured = fixed + slope * size by least squares over the listed sizes; the largest residual is in
percent of the measured value.

    cost_scaling.py build/scale/rushtrestle_cost_scaling
"""
import concurrent.futures
import re
import subprocess
import sys

PROGRAM = sys.argv[1]
MEMORY = {
    "live-job": [1000, 4000, 16000], "live-job-10-placed": [1000, 4000, 16000], "finished-job": [1000, 4000, 16000],
    "machine": [1000, 4000, 16000], "machine-gone": [1000, 4000, 16000], "held-job": [500, 1000, 2000, 4000],
    "held-machine": [250, 500, 1000, 2000], "team": [100, 400, 800],
}
WORK = {
    "report": [0, 3, 6, 12], "report-encoding": [0, 3, 6, 12], "followed-change": [0, 3, 6, 10], "job-life": [1, 5, 10, 20],
    "poll": [50, 200, 800], "second-by-waiting-jobs": [50, 100, 200, 400], "second-by-machines": [50, 100, 200, 400],
    "second-by-teams": [20, 80, 320, 740], "start-up-live": [250, 500, 1000, 2000], "start-up-history": [500, 1000, 2000, 4000],
}
COUNT = 10


def measure(kind, name, size):
    command = [PROGRAM, name, str(size), "--count", str(COUNT)]
    if kind == "bytes":
        return int(subprocess.run(command, capture_output=True, text=True, check=True).stdout.split()[1]), ""
    out = subprocess.run(
        ["valgrind", "--tool=callgrind", "--collect-atstart=no", "--callgrind-out-file=/dev/null"] + command,
        capture_output=True, text=True, check=True)
    collected = int(re.search(r"Collected : (\d+)", out.stderr).group(1))
    repetitions = 1 if name.startswith("start-up") else COUNT
    return collected / repetitions, out.stdout.strip()


def fit(points):
    """Fits a line by least squares; returns intercept, slope and largest relative residual."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x, _ in points)
    fixed = mean_y - slope * mean_x
    residual = max(abs(y - fixed - slope * x) / y for x, y in points if y)
    return fixed, slope, residual


def main():
    measurements = [("bytes", n, s) for n, sizes in MEMORY.items() for s in sizes]
    measurements += [("instructions", n, s) for n, sizes in WORK.items() for s in sizes]
    with concurrent.futures.ThreadPoolExecutor(max_workers=6) as pool:
        results = dict(zip(measurements, pool.map(lambda m: measure(*m), measurements)))
    print("| what | unit | sizes | measured | fixed | slope | largest residual |\n| --- | --- | --- | --- | --- | --- | --- |")
    notes = []
    for kind, table in (("bytes", MEMORY), ("instructions", WORK)):
        for name, sizes in table.items():
            points = [(s, results[(kind, name, s)][0]) for s in sizes]
            notes += [f"{name} {s}: {results[(kind, name, s)][1]}" for s in sizes if results[(kind, name, s)][1]]
            fixed, slope, residual = fit(points)
            print(f"| {name} | {kind} | {', '.join(map(str, sizes))} | {', '.join(f'{y:,.0f}' for _, y in points)} "
                  f"| {fixed:,.0f} | {slope:,.1f} | {100 * residual:.1f}% |")
    print("\n" + "\n".join(notes))


main()
