#!/usr/bin/env python3
"""Least-squares line through two columns of CSV files, and its value at a size.

    scripts/fit.py --x fronts --y core_cpu_pct_mean --at 360 docs/figures/capacity-fronts.csv
"""

import argparse
import csv


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("files", nargs="+")
    parser.add_argument("--x", required=True)
    parser.add_argument("--y", required=True)
    parser.add_argument("--at", type=float, required=True)
    arguments = parser.parse_args()
    points = []
    for path in arguments.files:
        with open(path, newline="") as file:
            points += [(float(row[arguments.x]), float(row[arguments.y])) for row in csv.DictReader(file)]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    total = sum((y - mean_y) ** 2 for _, y in points)
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    fit = 1 - residual / total if total else 1.0
    print(
        f"{arguments.y} = {intercept:.4g} + {slope:.4g} * {arguments.x}, R2 {fit:.3f}, "
        f"{len(points)} points; at {arguments.at:g}: {intercept + slope * arguments.at:.4g}"
    )


if __name__ == "__main__":
    main()
