#!/usr/bin/env python3
"""Plays each kind of disruption, alone or in pairs, on a site and prints the rules that broke.

    play.py BENCH SITE [--only WORD,...] [--pairs] [--seeds N] [--jobs N] --why TEXT

BENCH is the users' bench, SITE a site file. Each day is written to its own temporary file. Prints one
line for each day with a broken rule or a fault, then the number of days. Run in the repository whose
sources are to be played.
"""
import argparse
import itertools
import os
import re
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor

# Each entry: a label, whether the disruption is planned (None: it closes the day), and its fields without `at`.
ENTRIES = [
    ("burst", False, 'kind = "burst", x = 2.5, for_s = 5.0'),
    ("hot_key", False, 'kind = "hot_key", share = 0.4, for_s = 6.0'),
    ("hot_tenant", False, 'kind = "hot_tenant", x = 8.0, for_s = 8.0'),
    ("srv_crash", False, 'kind = "srv_crash", share = 0.3, for_s = 4.0'),
    ("srv_crash dark", False, 'kind = "srv_crash", share = 0.3, for_s = 4.0, how = "dark"'),
    ("srv_crash gone", False, 'kind = "srv_crash", share = 0.3, how = "gone"'),
    ("srv_crash across", False, 'kind = "srv_crash", share = 0.4, for_s = 3.0, how = "across all"'),
    ("release", True, 'kind = "release", share = 0.6, gap_s = 0.8'),
    ("cold_return", False, 'kind = "cold_return", for_s = 3.0'),
    ("cold_return dark", False, 'kind = "cold_return", for_s = 3.0, how = "dark"'),
    ("answer_lost", False, 'kind = "answer_lost", x = 0.1, for_s = 6.0'),
    ("answer_lost reset", False, 'kind = "answer_lost", x = 0.1, for_s = 6.0, how = "reset"'),
    ("garble", False, 'kind = "garble", x = 0.08, for_s = 6.0'),
    ("garble extra", False, 'kind = "garble", x = 0.08, for_s = 6.0, how = "extra"'),
    ("garble extra late", False, 'kind = "garble", x = 0.08, for_s = 6.0, how = "extra late"'),
    ("garble unframed", False, 'kind = "garble", x = 0.08, for_s = 6.0, how = "unframed"'),
    ("garble early", False, 'kind = "garble", x = 0.08, for_s = 6.0, how = "early"'),
    ("node_kill", False, 'kind = "node_kill", share = 0.3, for_s = 2.0'),
    ("node_kill power", False, 'kind = "node_kill", share = 0.3, for_s = 3.0, how = "power"'),
    ("node_kill core", False, 'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader meet drain"'),
    ("node_kill core race", False, 'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader race hard"'),
    ("node_freeze", False, 'kind = "node_freeze", share = 0.3, for_s = 4.0'),
    ("node_freeze core", False, 'kind = "node_freeze", on = "core", count = 1, for_s = 5.0, how = "leader meet"'),
    ("roll_term", True, 'kind = "roll_term", share = 1.0, gap_s = 1.0'),
    ("roll_term busy", True, 'kind = "roll_term", share = 0.6, gap_s = 1.0, how = "busy"'),
    ("roll_term remove", True, 'kind = "roll_term", share = 0.3, gap_s = 1.0, how = "remove"'),
    ("roll_term core", True, 'kind = "roll_term", on = "core", share = 1.0, gap_s = 6.0'),
    ("herd_kill", False, 'kind = "herd_kill", share = 0.7, for_s = 1.0'),
    ("herd_kill power", False, 'kind = "herd_kill", share = 0.7, for_s = 1.0, how = "power"'),
    ("herd_kill core", False, 'kind = "herd_kill", on = "core", for_s = 1.0, how = "race drain"'),
    ("herd_kill core power", False, 'kind = "herd_kill", on = "core", for_s = 1.0, how = "power"'),
    ("herd_kill taken", False, 'kind = "herd_kill", for_s = 1.0, how = "taken all"'),
    ("replace_core", False, 'kind = "replace_core", x = 1.0, how = "leader"'),
    ("replace_core planned", False, 'kind = "replace_core", x = 2.0, how = "planned"'),
    ("replace_core oldest", False, 'kind = "replace_core", x = 2.0, how = "oldest"'),
    ("after_ack_kill", False, 'kind = "after_ack_kill", for_s = 2.0'),
    ("after_ack_kill timed", False, 'kind = "after_ack_kill", for_s = 2.0, how = "timed"'),
    ("after_ack_wipe", False, 'kind = "after_ack_wipe", for_s = 2.0'),
    ("after_ack_wipe oldest", False, 'kind = "after_ack_wipe", for_s = 2.0, how = "oldest"'),
    ("disk_full", False, 'kind = "disk_full", count = 1, for_s = 6.0'),
    ("disk_slow", False, 'kind = "disk_slow", count = 1, x = 30, for_s = 6.0'),
    ("disk_stall", False, 'kind = "disk_stall", count = 1, for_s = 6.0'),
    ("core_cut", False, 'kind = "core_cut", count = 1, for_s = 5.0, how = "leader"'),
    ("core_cut reader", False, 'kind = "core_cut", count = 1, for_s = 8.0, how = "reader"'),
    ("core_cut all", False, 'kind = "core_cut", count = 1, for_s = 5.0, how = "all leader race"'),
    ("core_cut near", False, 'kind = "core_cut", count = 1, for_s = 5.0, how = "near"'),
    ("core_cut one_way", False, 'kind = "core_cut", count = 1, for_s = 5.0, how = "one_way leader"'),
    ("core_cut seeds", False, 'kind = "core_cut", count = 1, for_s = 6.0, how = "seeds"'),
    ("core_cut both", False, 'kind = "core_cut", count = 1, for_s = 6.0, how = "both"'),
    ("core_cut lure", False, 'kind = "core_cut", count = 1, for_s = 6.0, how = "lure"'),
    ("core_cut refuse", False, 'kind = "core_cut", count = 1, for_s = 5.0, how = "leader refuse"'),
    ("core_cut reset", False, 'kind = "core_cut", count = 1, for_s = 5.0, how = "leader reset"'),
    ("config_change route", True, 'kind = "config_change", how = "route"'),
    ("config_change weights", True, 'kind = "config_change", how = "weights"'),
    ("config_change timeout", True, 'kind = "config_change", how = "timeout"'),
    ("config_change tenant", True, 'kind = "config_change", how = "tenant"'),
    ("config_change quota", True, 'kind = "config_change", how = "quota"'),
    ("config_race", True, 'kind = "config_race", count = 4, gap_s = 0.8'),
    ("bad_config", True, 'kind = "bad_config", count = 3, gap_s = 0.8'),
    ("bad_config cut_short", True, 'kind = "bad_config", how = "cut_short", count = 2'),
    ("bad_config unknown_service", True, 'kind = "bad_config", how = "unknown_service", count = 2'),
    ("bad_config same_place", True, 'kind = "bad_config", how = "same_place", count = 2'),
    ("bad_config no_weight", True, 'kind = "bad_config", how = "no_weight", count = 2'),
    ("bad_config no_timeout", True, 'kind = "bad_config", how = "no_timeout", count = 2'),
    ("bad_config old_version", True, 'kind = "bad_config", how = "old_version", count = 2'),
    ("bad_config same_version", True, 'kind = "bad_config", how = "same_version", count = 2'),
    ("bad_config stale_match", True, 'kind = "bad_config", how = "stale_match", count = 2'),
    ("bad_config shared_key", True, 'kind = "bad_config", how = "shared_key", count = 2'),
    ("ack_lost", False, 'kind = "ack_lost", x = 0.7, for_s = 10.0'),
    ("big_config", True, 'kind = "big_config", count = 400'),
    ("revoke", True, 'kind = "revoke", count = 3, gap_s = 1.0'),
    ("retry_abuse", False, 'kind = "retry_abuse", share = 0.5, x = 4.0, for_s = 8.0'),
    ("give_up", False, 'kind = "give_up", share = 0.4, x = 150, for_s = 8.0'),
    ("srv_slow", False, 'kind = "srv_slow", share = 0.3, x = 6.0, for_s = 6.0'),
    ("srv_grey errors", False, 'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "errors"'),
    ("srv_grey shed", False, 'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "shed"'),
    ("srv_grey busy", False, 'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "busy"'),
    ("srv_grey hang", False, 'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "hang"'),
    ("srv_grey reset", False, 'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "reset"'),
    ("srv_grey mute", False, 'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "mute"'),
    ("srv_grey slow", False, 'kind = "srv_grey", share = 0.3, x = 8, for_s = 6.0, how = "slow"'),
    ("srv_cut", False, 'kind = "srv_cut", share = 0.3, for_s = 6.0'),
    ("srv_cut fronts", False, 'kind = "srv_cut", share = 0.3, for_s = 6.0, how = "fronts"'),
    ("srv_cut one_way", False, 'kind = "srv_cut", share = 0.3, for_s = 6.0, how = "one_way"'),
    ("replace_with_reuse", False, 'kind = "replace_with_reuse", share = 0.3'),
    ("replace_with_reuse drain", False, 'kind = "replace_with_reuse", share = 0.3, how = "drain"'),
    ("replace_with_reuse dark", False, 'kind = "replace_with_reuse", share = 0.3, how = "dark"'),
    ("scale_out", True, 'kind = "scale_out", share = 0.4, gap_s = 3.0'),
    ("scale_in", True, 'kind = "scale_in", share = 0.3'),
    ("scale_in spot", False, 'kind = "scale_in", share = 0.3, x = 2.0, how = "spot"'),
    ("node_slow", False, 'kind = "node_slow", share = 0.3, x = 6.0, for_s = 6.0'),
    ("seed_turnover", False, 'kind = "seed_turnover"'),
    ("clock_step", False, 'kind = "clock_step", share = 0.5, x = 5000, for_s = 6.0'),
    ("hup", True, 'kind = "hup", share = 1.0, gap_s = 3.0'),
    ("reset_conns", False, 'kind = "reset_conns", share = 0.5, x = 0.6'),
    ("zone_loss", False, 'kind = "zone_loss", for_s = 4.0'),
    ("zone_cut", False, 'kind = "zone_cut", for_s = 5.0'),
    ("node_cut", False, 'kind = "node_cut", share = 0.3, for_s = 6.0'),
    ("node_cut all", False, 'kind = "node_cut", share = 0.3, for_s = 6.0, how = "all"'),
    ("node_cut servers", False, 'kind = "node_cut", share = 0.3, for_s = 6.0, how = "servers"'),
    ("evacuate", True, 'kind = "evacuate", for_s = 6.0'),
    ("evacuate warm", True, 'kind = "evacuate", for_s = 6.0, how = "warm"'),
    ("add_nodes", True, 'kind = "add_nodes", share = 0.3'),
    ("srv_flap", False, 'kind = "srv_flap", share = 0.3, for_s = 8.0'),
    ("srv_lying_health", False, 'kind = "srv_lying_health", share = 0.3, for_s = 8.0'),
    ("closing power", None, 'kind = "power_off_all", down_s = 0.8'),
    ("closing kill", None, 'kind = "kill_all", down_s = 0.8'),
    ("closing wipe", None, 'kind = "wipe_after_ack", down_s = 1.0'),
    ("closing wipe timed", None, 'kind = "wipe_after_ack", down_s = 1.0, how = "timed"'),
    ("closing wipe oldest", None, 'kind = "wipe_after_ack", down_s = 1.0, how = "oldest"'),
    ("closing power taken", None, 'kind = "power_off_all", down_s = 0.8, how = "taken"'),
]

EARLY_START_S, LATE_START_S, SPACING_S = 4.0, 13.0, 0.7


def traffic_of(site_text):
    """Returns the traffic table of the site file, which each day must contain."""
    start = site_text.index("\ntraffic = [")
    return site_text[start + 1 : site_text.index("\n]", start) + 2]


def day_text(chosen, seed, traffic):
    plan, faults, closing = [], [], ""
    for index, (_, planned, fields) in enumerate(chosen):
        if planned is None:
            closing = "closing = { %s }\n" % fields
            continue
        start_times = [EARLY_START_S, LATE_START_S] if len(chosen) == 1 else [8.0]
        lines = ["{ at = %.2f, %s }" % (at + index * SPACING_S, fields) for at in start_times]
        (plan if planned else faults).extend(lines)
    # Extra configuration changes make it more likely that a fault occurs while a change is pending.
    plan += ['{ at = %.1f, kind = "config_change", how = "idle" }' % at for at in (8.5, 14.5, 20.0)]
    return 'name = "own"\nslot = "trouble"\nseed = %d\n%sone = 0.7\nzero = 0.3\nplan = [%s]\nfaults = [%s]\n%s\n' % (
        seed,
        closing,
        ", ".join(plan),
        ", ".join(faults),
        traffic,
    )


def play(bench, site, label, text, seed, why, extra):
    with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
        file.write(text)
    try:
        result = subprocess.run(
            [bench, "run", site, file.name, "--seed", str(seed), "--why", why + ": " + label] + extra,
            capture_output=True,
            text=True,
            check=False,
        )
    finally:
        os.unlink(file.name)
    out = result.stdout + result.stderr
    broken = re.search(r"BROKEN: (.*?)(?: \(else|$)", out, re.M)
    worth = re.search(r"^worth ([0-9.]+)", out, re.M)
    fault = re.search(r"^(?:fault|FAULT|error)[^\n]*", out, re.M)
    return (
        label,
        seed,
        broken.group(1) if broken else "",
        worth.group(1) if worth else "",
        (fault.group(0) if fault else ("" if worth else out[-300:])),
        out,
    )


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("bench", help="path of the bench")
    parser.add_argument("site", help="site file")
    parser.add_argument(
        "--only", default="", help="comma-separated words; play only disruptions whose label contains one"
    )
    parser.add_argument("--pairs", action="store_true", help="play all pairs of disruptions")
    parser.add_argument(
        "--sample", type=int, default=0, help="play only this many pairs, drawn with the first seed (default all)"
    )
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds (default 1)")
    parser.add_argument("--first-seed", type=int, default=1, help="first seed (default 1)")
    parser.add_argument("--jobs", type=int, default=4, help="days played in parallel (default 4)")
    parser.add_argument("--keep", default="", help="folder for the output of days with a broken rule or a fault")
    parser.add_argument("--small", action="store_true", help="play the small twin of a large site")
    parser.add_argument("--no-cpu", action="store_true", help="do not charge processor time")
    parser.add_argument("--all", action="store_true", help="print a line for each day with its worth")
    parser.add_argument("--why", required=True, help="reason, passed to the bench")
    options = parser.parse_args()
    with open(options.site, encoding="utf-8") as file:
        traffic = traffic_of(file.read())
    words = [word for word in options.only.split(",") if word]
    entries = [entry for entry in ENTRIES if not words or any(word in entry[0] for word in words)]
    chosen = [[entry] for entry in entries]
    if options.pairs:
        chosen = [list(pair) for pair in itertools.combinations(entries, 2)]
        if options.sample:
            import random

            random.Random(options.first_seed).shuffle(chosen)
            chosen = chosen[: options.sample]
    tasks = []
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        for group in chosen:
            label = " + ".join(entry[0] for entry in group)
            tasks.append((label, day_text(group, seed, traffic), seed))
    failed_days = 0
    extra = ["--small"] * options.small + ["--no-cpu"] * options.no_cpu
    with ThreadPoolExecutor(options.jobs) as pool:
        results = pool.map(
            lambda task: play(options.bench, options.site, task[0], task[1], task[2], options.why, extra), tasks
        )
        for label, seed, broken, worth, fault, out in results:
            failed_days += 1 if broken or fault else 0
            if broken or fault or options.all:
                print("%-42s seed %d  worth %-6s %s %s" % (label, seed, worth, broken, fault), flush=True)
            if options.keep and (broken or fault):
                name = re.sub(r"[^a-z0-9_]+", "-", label) + "-%d.txt" % seed
                with open(os.path.join(options.keep, name), "w", encoding="utf-8") as file:
                    file.write(out)
    print("%d days played, %d with a broken rule or a fault" % (len(tasks), failed_days))
    return 1 if failed_days else 0


if __name__ == "__main__":
    sys.exit(main())
