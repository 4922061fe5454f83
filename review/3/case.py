"""Two operators patch the same version with different changes under the same number; both get a 200.

The first patch raises the time-outs of two routes and removes a third; the second raises the time-out of one route, as
the first does, and nothing else. Only one of them can be version 2.
"""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import fleet as standins  # noqa: E402

CONFIG_S = standins.BOUNDS["configMs"] / 1000


def raised(route):
    return {**route, "timeoutMs": 4000}


def without_version(configuration):
    return json.dumps({name: configuration[name] for name in ("routes", "services")}, sort_keys=True)


async def body(fleet, trouble):
    record = fleet.record
    fleet.workers = [standins.Worker(fleet, "app", zone, number) for number, zone in enumerate(standins.ZONES, start=1)]
    await fleet.start()
    operator = standins.Operator(fleet)
    other_operator = standins.Operator(fleet)
    first, second, third = [standins.route(f"r-{name}", f"/{name}/", "app") for name in ("first", "second", "third")]
    configuration = {
        "version": 1,
        "routes": [first, second, third],
        "services": [standins.service("app")],
        "limits": standins.limits(),
    }
    status, _ = await operator.replace(configuration, 0)
    if status != 200:
        raise standins.CannotRun("the first configuration was not acknowledged")
    await fleet.wait_ready()
    client = standins.Client(fleet, "/third/x", 10)
    traffic = asyncio.create_task(client.run())
    await asyncio.sleep(3)

    wide = {"version": 2, "upsert": {"routes": [raised(first), raised(second)]}, "remove": {"routes": ["r-third"]}}
    narrow = {"version": 2, "upsert": {"routes": [raised(first)]}}
    wide_status = None
    narrow_sent = {**configuration, "version": 2, "routes": [raised(first), second, third]}
    if trouble:
        wide_order = asyncio.create_task(operator.patch(wide, 1, ["core-1", "core-2"], "the wide patch 2 on 1"))
        await asyncio.sleep(0.1)
    narrow_status, _ = await other_operator.patch(narrow, 1, ["core-2", "core-1"], "the narrow patch 2 on 1")
    if trouble:
        wide_status, _ = await wide_order
    acknowledged_at = record.now()
    await asyncio.sleep(CONFIG_S + 3)
    await client.finish()
    traffic.cancel()

    answer = await standins.call(fleet.control("core-3"), "GET", "/config/get")
    if answer is None or answer.status != 200:
        raise standins.CannotRun("the configuration was not read")
    in_force = json.loads(answer.body)
    judged = [
        status for request, (_, status) in client.answers.items() if client.sent[request][0] > acknowledged_at + 2
    ]
    refused = judged.count(404)
    names = [route["name"] for route in in_force["routes"]]
    record.say(f"wide patch: {wide_status}, narrow patch: {narrow_status}")
    record.say(f"read back: version {in_force['version']}, routes {names}")
    is_narrow = without_version(in_force) == without_version(narrow_sent)
    record.say(f"what is in force is what the narrow patch makes of version 1: {is_narrow}")
    record.say(f"{refused} of {len(judged)} later requests on r-third got a 404")
    if narrow_status is None:
        raise standins.CannotRun("no clear answer")
    return wide_status == 200 and narrow_status == 200


standins.run_case(FOLDER, body)
