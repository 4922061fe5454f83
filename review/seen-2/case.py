"""A patch that names one route alters figures of items that it does not name."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../tools-2"))
import fleet as f  # noqa: E402
import parts  # noqa: E402

# 111,559 tokens a second, the figure of PROTOCOL.md's example, with 10, 30, 50 and 70 in 100 more.
RATES = [111559 * (1 + share / 100) for share in (10, 30, 50, 70)]


def run(record, trouble):
    fleet = f.Fleet(record, fronts=2)
    try:
        parts.start_workers(fleet, parts.answer_with(b"ok"))
        fleet.start_all()
        tenants = [parts.tenant(f"tenant-{n}", [f"key-{n}"], ratePerS=rate, burst=rate) for n, rate in enumerate(RATES)]
        routes = [parts.route("r-one"), parts.route("r-two", prefix="/lohu930/")]
        expected = parts.configuration(3, routes, tenants)
        fleet.configure(expected)
        fleet.await_ready()
        if trouble:
            changed = parts.route("r-two", prefix="/lohu930/", time_limit_ms=2500)
            patch = {"version": 5, "upsert": {"routes": [changed]}}
            if fleet.configure(patch, base=3, path="/config/patch") is None:
                raise f.CannotRun("the patch was refused")
            expected = dict(expected, version=5, routes=[routes[0], changed])
        time.sleep(f.BOUNDS["contactMs"] / 1000)
        found = json.loads(fleet.read_configuration())
        differing = []
        for sent, read in zip(expected["tenants"], found["tenants"]):
            for name, value in sent.items():
                if read.get(name) != value:
                    differing.append(name)
                    record.say(f"{sent['name']}: {name} was sent as {value!r}, read as {read.get(name)!r}")
        if {**found, "tenants": None} != {**expected, "tenants": None}:
            differing.append("other lists")
            record.say("the lists of routes, services or limits differ")
        record.say(f"{len(differing)} figures differ: CONFIG" if differing else "read as sent")
        return 1 if differing else 0
    finally:
        fleet.close()


if __name__ == "__main__":
    parts.main(__file__, run)
