"""A configuration whose `maxHeaderBytes` is below 4,096, and the one after it."""

import asyncio
import itertools
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from rig_2 import FRONT, Fleet, call_once, config, is_ready, main, resolve, route  # noqa: E402

CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
SMALL_LIMIT = 4_000
# The sheet has 473 requests a second for six machines, and a retry of each.
REQUESTS_PER_S = 150
SMALL_LIMIT_S = 30.0


async def case(record, has_trouble):
    async with Fleet(record, routers=3) as fleet:
        store = fleet.store
        routes = [route("non_idempotent", "/book/", "booking"), route("idempotent", "/look/", "booking")]
        await store.put("config", "main", config(3, routes, ["booking"]))
        for number in range(6):
            await fleet.replica(f"i-{number}")
        routers = await fleet.start_routers()
        numbers = itertools.count()

        async def ask_all(stage, rounds):
            """Readiness, directory and requests of about 150 bytes at each router. Returns the
            number of requests that were served."""
            served = sent = others = 0
            for _ in range(rounds):
                for router in routers:
                    sent += 2
                    for method, path, body in (("POST", "/book/1", b"x"), ("GET", "/look/1", b"")):
                        attempt = f"{stage}-{next(numbers)}"
                        answer = await call_once(router.ip, FRONT, method, path, attempt, body=body, timeout_s=2)
                        served += answer.status == 200
                        if answer.status != 200:
                            record.line(f"client asks {router.name} for {attempt}: {answer}")
                    ready, addresses = await is_ready(router.ip), await resolve(router.ip)
                    others += ready + bool(addresses)
                    if not (ready and addresses):
                        record.line(f"{router.name}: running {router.is_running()}, ready {ready}, directory {addresses}")
                await asyncio.sleep(0.5)
            record.line(f"{stage}: {served} of {sent} requests served; {others} of {sent} readiness checks and look-ups answered")
            return served

        async def traffic(router):
            """The requests of clients, each on a new connection."""
            end, calls, served = record.now() + SMALL_LIMIT_S, set(), 0

            async def ask():
                nonlocal served
                answer = await call_once(router.ip, FRONT, "GET", "/look/1", f"during-{next(numbers)}", timeout_s=2)
                served += answer.status == 200

            while record.now() < end:
                call = asyncio.ensure_future(ask())
                calls.add(call)
                call.add_done_callback(calls.discard)
                await asyncio.sleep(1 / REQUESTS_PER_S)
            await asyncio.gather(*calls)
            record.line(f"during: {served} requests served by {router.name}")

        await asyncio.sleep(CONTACT_S)
        await ask_all("before", 4)
        limits = {"maxHeaderBytes": SMALL_LIMIT} if has_trouble else {}
        await store.put("config", "main", config(5, routes, ["booking"], **limits))
        record.line(f"the store acknowledges version 5 with {limits or 'the same limits'}")
        await asyncio.sleep(CONFIG_APPLY_S + 1.0)
        await ask_all("after", 4)
        await asyncio.gather(*(traffic(router) for router in routers))
        await store.put("config", "main", config(8, routes, ["booking"]))
        record.line("the store acknowledges version 8 with the limits of before")
        await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S)
        return await ask_all("again", 20) > 0


main(case, FOLDER)
