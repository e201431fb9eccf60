"""SIGTERM while callers still use the router, with calls that take 2.6 s of their 4 s."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from rig_2 import FRONT, Fleet, call_once, config, main, resolve, route  # noqa: E402

GRACE_S = 8.0
CONTACT_S = 5.0
# A client's time limit, and how long the replicas work on each call.
LIMIT_MS = 4_000
WORK_S = 2.6
# Of magnolia-fit-large, where they differ.
LARGE_BOUNDS = {
    "contactMs": 5000, "ackMs": 8000, "catchUpS": 6, "drainMs": 4000, "configApplyMs": 4000, "maxSkewMs": 8000,
    "retryBudgetSlack": 430, "recoveryS": 15, "passMs": 200,
}
# A look-up is good for ttlS, and for some clients for three times as long.
KEPT_FACTOR = 3


async def case(record, has_trouble):
    async with Fleet(record, routers=3, **LARGE_BOUNDS) as fleet:
        routes = [route("non_idempotent", "/book/", "booking", timeoutMs=LIMIT_MS)]
        await fleet.store.put("config", "main", config(3, routes, ["booking"]))
        replicas = [await fleet.replica(f"i-{n}", work_s=WORK_S) for n in range(3)]
        routers = await fleet.start_routers()
        await asyncio.sleep(CONTACT_S + 1)
        stopped = routers[0]
        addresses = await resolve(routers[1].ip)
        looked_up = record.now()
        record.line(f"clients look up {addresses}, with ttlS 2")
        if f"{stopped.ip}:{FRONT}" not in addresses:
            raise AssertionError("the directory does not name the router")
        sigterm = record.now()
        if has_trouble:
            stopped.signal(signal.SIGTERM)
        lost, refused = [], 0

        async def book(number, at):
            nonlocal refused
            await asyncio.sleep(at)
            attempt = f"book-{number}"
            sent = record.now() - sigterm
            answer = await call_once(stopped.ip, FRONT, "POST", "/book/1", attempt, LIMIT_MS, b"x")
            ran = [replica.name for replica in replicas for _, run in replica.runs if run == attempt]
            ended = record.now() - sigterm
            record.line(f"{attempt} sent {sent:.2f} s after SIGTERM, ended at {ended:.2f} s: {answer}; passed on to {ran}")
            refused += answer.status == 503
            # Sent no later than 3 s after the SIGTERM, it would not count.
            if answer.status == 0 and ran and sent > 3.0 and ended <= GRACE_S + 1:
                lost.append(attempt)

        kept_s = 2.0 * KEPT_FACTOR - (sigterm - looked_up)
        await asyncio.gather(*(book(number, number * kept_s / 20) for number in range(20)))
        runs = sum(len(replica.runs) for replica in replicas)
        record.line(f"{runs} of 20 bookings passed on, {refused} refused as not run, lost {lost}")
        return not lost


main(case, FOLDER)
