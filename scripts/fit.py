#!/usr/bin/env python3
"""Fits a least-squares line to two columns of CSV files and prints its value at a given x.

    scripts/fit.py --x fronts --y core_cpu_pct_mean --at 360 docs/figures/capacity-fronts.csv
"""

import argparse
import csv


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("files", nargs="+", help="CSV files whose rows are the points")
    parser.add_argument("--x", required=True, help="column of the x values")
    parser.add_argument("--y", required=True, help="column of the y values")
    parser.add_argument("--at", type=float, required=True, help="x value at which the line is evaluated")
    arguments = parser.parse_args()
    points = []
    for path in arguments.files:
        with open(path, newline="") as file:
            points += [(float(row[arguments.x]), float(row[arguments.y])) for row in csv.DictReader(file)]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    x_variation = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_variation
    intercept = mean_y - slope * mean_x
    y_variation = sum((y - mean_y) ** 2 for _, y in points)
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    r_squared = 1 - residual / y_variation if y_variation else 1.0
    print(
        f"{arguments.y} = {intercept:.4g} + {slope:.4g} * {arguments.x}, R2 {r_squared:.3f}, "
        f"{len(points)} points; at {arguments.at:g}: {intercept + slope * arguments.at:.4g}"
    )


if __name__ == "__main__":
    main()
