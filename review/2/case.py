"""A withdrawn evacuation order that a frozen core had not read takes effect after a later evacuation."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

import fleet as standins  # noqa: E402

ZONE = "zone-b"
FREEZE_S = 4.0  # The longest freeze of a core machine in the site file.
EVACUATE_S = standins.BOUNDS["evacuateMs"] / 1000
CONTACT_S = standins.BOUNDS["contactMs"] / 1000


async def body(fleet, trouble):
    record = fleet.record
    fleet.workers = [
        standins.Worker(fleet, "app", zone, number) for number, zone in enumerate(standins.ZONES * 2, start=1)
    ]
    await fleet.start()
    operator = standins.Operator(fleet)
    configuration = {
        "version": 1,
        "routes": [standins.route("r-app", "/app/", "app")],
        "services": [standins.service("app")],
        "limits": standins.limits(),
    }
    status, _ = await operator.replace(configuration, 0)
    if status != 200:
        raise standins.CannotRun("the first configuration was not acknowledged")
    await fleet.wait_ready()
    client = standins.Client(fleet, "/app/x", 40)
    traffic = asyncio.create_task(client.run())
    await asyncio.sleep(5)

    frozen, other = "core-1", "core-2"
    status, _ = await operator.evacuate(ZONE, True, [other, frozen])
    if status != 200:
        raise standins.CannotRun("the first evacuation was not acknowledged")
    await asyncio.sleep(EVACUATE_S + 2)

    thawed_at = record.now()
    if trouble:
        fleet.signal(frozen, signal.SIGSTOP)
        thawed_at = record.now() + FREEZE_S
    finish_status, finished_at = await operator.evacuate(ZONE, False, [frozen, other])
    await asyncio.sleep(0.3)
    begin_status, evacuated_at = await operator.evacuate(ZONE, True, [other])
    if finish_status != 200 or begin_status != 200:
        raise standins.CannotRun("the orders were not acknowledged")
    if trouble:
        if record.now() > thawed_at:
            raise standins.CannotRun("the orders took longer than the freeze")
        await asyncio.sleep(thawed_at - record.now())
        fleet.signal(frozen, signal.SIGCONT)

    # Every machine has been in touch for contactMs (twice that, to be safe), and evacuateMs has passed.
    judged_from = max(evacuated_at + EVACUATE_S, thawed_at + 2 * CONTACT_S)
    await asyncio.sleep(judged_from + 8 - record.now())
    await client.finish()
    traffic.cancel()
    judged_until = record.now()
    late = [
        (at, request, worker.id)
        for worker in fleet.workers
        for at, request in worker.runs
        if worker.zone == ZONE and client.sent[request][0] >= judged_from and at <= judged_until
    ]
    served = sum(1 for _, status in client.answers.values() if status == 200)
    record.say(f"{len(client.sent)} requests, {served} answered with 200")
    record.say(f"finish acknowledged at {finished_at:.3f}, second begin acknowledged at {evacuated_at:.3f}")
    record.say(f"{len(late)} requests sent after {judged_from:.3f} were run in {ZONE}, which is evacuated")
    if served < len(client.sent) // 2:
        raise standins.CannotRun("too few requests were served")
    return bool(late)


standins.run_case(FOLDER, body)
