"""A route whose host is written with a capital letter is acknowledged, and answers 404 from then on."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../tools-2"))
import fleet as f  # noqa: E402
import parts  # noqa: E402

PREFIX = "/lohu930/"
REQUESTS = 20


def ask_all(fleet, stage, host):
    """Returns the statuses of requests to the second route."""
    statuses = []
    for number in range(REQUESTS):
        front = fleet.fronts[number % len(fleet.fronts)]
        identity = f"{stage}{number:03d}9c41d07be2a3"
        statuses.append(parts.ask(fleet, front, identity, parts.KEY, host=host, path=PREFIX + "2f"))
    return statuses


def run(record, trouble):
    # The operator moves the route to another host; without the disruption that host has no capital letter.
    host = "Kueche.ficu95.example" if trouble else "kueche.ficu95.example"
    fleet = f.Fleet(record, fronts=2)
    try:
        parts.start_workers(fleet, parts.answer_with(b"ok"))
        fleet.start_all()
        routes = [parts.route("r-one"), parts.route("r-two", prefix=PREFIX)]
        fleet.configure(parts.configuration(3, routes, [parts.tenant()]))
        fleet.await_ready()
        time.sleep(f.BOUNDS["contactMs"] / 1000)
        if ask_all(fleet, "1", "ficu95.example").count(200) != REQUESTS:
            raise f.CannotRun("the route was not served before the change")
        moved = parts.route("r-two", host=host, prefix=PREFIX)
        patch = {"version": 5, "upsert": {"routes": [moved]}}
        if fleet.configure(patch, base=3, path="/config/patch") is None:
            record.say("the change was refused")
            return 0
        time.sleep((f.BOUNDS["configMs"] + f.BOUNDS["contactMs"]) / 1000)
        fleet.read_configuration()
        as_written = ask_all(fleet, "2", host)
        in_small = ask_all(fleet, "3", host.lower())
        # Judged by the host as the configuration writes it; no page says that small letters name it too.
        refused = as_written.count(404)
        record.say(f"{refused} of {REQUESTS} requests to {host} were refused with 404")
        record.say(f"not judged: {in_small.count(404)} of {REQUESTS} to {host.lower()} were refused with 404")
        broken = refused > 5 + 3 * REQUESTS / 500  # of all requests of the run
        record.say("CONFIG and DENIED are broken" if broken else "the rules held")
        return 1 if broken else 0
    finally:
        fleet.close()


if __name__ == "__main__":
    parts.main(__file__, run)
