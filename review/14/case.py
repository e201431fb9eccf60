"""The store is away for some seconds while replicas of two software versions serve. All routers are
killed meanwhile. Do the streams that began in the outage go on once all is back?"""

import asyncio
import os
import random
import re
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_3 import ROUTERS, CannotRun, Replica, Router, Store, keep, now, run_case

CONTACT_S = 3.0
OUTAGE_S = 4.5
# Times after the beginning of the outage.
BEGIN_S, KILL_S, START_S = (0.3, 2.8), 3.2, 4.0
STREAMS, NEW_STREAMS = 60, 40
TIME_LIMIT_S = 12.0
# Clients abandon a stream after a gap of eight times the pause of the sheet.
GAP_S = 2.4
EVENTS, EVENT_GAP_S = 40, 0.25


async def main(folder, network, record, trouble):
    store = Store((f"{network}.1", 8080))
    await store.start()
    service = "m1"
    store.put("config", "main", {
        "version": 7,
        "routes": [{"name": "r1", "host": "h.example", "pathPrefix": "/p/", "kind": "streaming",
                    "timeoutMs": 12000, "targetLatencyMs": 400, "priority": 1, "service": service,
                    "maxAttempts": 2, "anonymous": False, "sessionAffinity": True,
                    "streamResume": True, "targetGapMs": 300}],
        "services": [{"name": service, "healthPath": "/health", "maxConnections": 290,
                      "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0,
                      "engine": {"slots": 48, "kvCapacityTokens": 729341, "kvTokenBytes": 35136}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000, "tokensPerS": 650000},
        "tenants": [{"name": "t1", "apiKeys": ["key-1"], "priority": 1}]})

    async def answer(replica, request, writer):
        last = int(request["headers"].get("last-event-id") or 0)
        record.add("runs", replica=replica.name, version=replica.spec["version"],
                   request=request["id"], after=last)
        await asyncio.sleep(0.1)
        head = replica.head(request, 200, [("Content-Type", "text/event-stream"),
                                           ("Transfer-Encoding", "chunked")])
        writer.write(f"{head}\r\n".encode())
        for number in range(last + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {replica.spec['version']}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            if writer.is_closing():
                return
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    replicas = []
    for number in range(4):
        replica = Replica(store, record, (f"{network}.{100 + number}", 8080), service, answer, 48)
        replica.version = "v1" if number < 2 else "v2"
        replicas.append(replica)
        await replica.start()
    routers = [Router(number, network, folder, store, [1, 2, 3]) for number in (1, 2, 3)]
    ROUTERS.extend(routers)
    for router in routers:
        router.start()
    for router in routers:
        await router.ready()
        router.set_restarted()
    await asyncio.sleep(5)

    serial = 0

    async def send(leave_s, limit_s=TIME_LIMIT_S, fields=()):
        """Sends a request for a stream and leaves after `leave_s`. Returns its name and status,
        and the ids and versions of the events that came."""
        nonlocal serial
        serial += 1
        name, body, end = f"q-{serial}", b"", now() + leave_s
        head = [("Host", "h.example"), ("X-Attempt-Id", name), ("Api-Key", "key-1"), ("X-Model", "m"),
                ("X-Token-Usage", "450,240"), ("X-Prefix-Hash", f"a11ce0:400,{serial:x}ff:50"),
                ("X-Deadline-Ms", str(int(limit_s * 1000))), ("Content-Length", "0"), *fields]
        record.add("sent", request=name, **{key.lower(): value for key, value in fields})
        try:
            reader, writer = await asyncio.open_connection(random.choice(routers).ip, 8783)
            writer.write(("POST /p/x HTTP/1.1\r\n" + "".join(f"{key}: {value}\r\n"
                                                            for key, value in head) + "\r\n").encode())
            while now() < end:
                part = await asyncio.wait_for(reader.read(65536), min(GAP_S, max(0.05, end - now())))
                if not part:
                    break
                body += part
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        status = int(body.split(b" ")[1]) if body else 0
        numbers = [int(text) for text in re.findall(rb"id: (\d+)\ndata: v\d\n\n", body)]
        versions = b",".join(sorted(set(re.findall(rb"data: (v\d)\n\n", body)))).decode()
        record.add("answered", request=name, status=status, versions=versions,
                   events=f"{numbers[0]}-{numbers[-1]}" if numbers else "none")
        return name, status, numbers, versions

    outage = now()
    if trouble:
        record.add("store-away")
        store.is_up.clear()
    in_touch = outage + OUTAGE_S + CONTACT_S + 0.3
    taken_up, mixed = [], 0

    async def stream(at):
        nonlocal mixed
        await asyncio.sleep(max(0, at - now()))
        begun = now()
        # Without the disruption, clients leave at the moment of the kill.
        leave_s = TIME_LIMIT_S if trouble else outage + KILL_S - now()
        name, _, numbers, versions = await send(leave_s)
        if not numbers:
            return
        fields = [("Last-Event-Id", str(numbers[-1])), ("Resumes", name)]
        # Once, as the sheet has it, when all machines are in touch.
        await asyncio.sleep(max(0, in_touch + random.uniform(0, 0.5) - now()))
        left_s = TIME_LIMIT_S - (now() - begun)
        _, status, more, later = await send(1.0, left_s, fields)
        goes_on = status == 200 and more[:1] == [numbers[-1] + 1]
        taken_up.append(goes_on)
        mixed += goes_on and later != versions

    async def restart():
        await asyncio.sleep(max(0, outage + KILL_S - now()))
        for router in routers:
            router.kill()
        record.add("routers-killed")
        await asyncio.sleep(max(0, outage + START_S - now()))
        for router in routers:
            router.start()
        await asyncio.sleep(max(0, outage + OUTAGE_S - now()))
        store.is_up.set()
        record.add("store-back")

    new = []

    async def new_stream():
        await asyncio.sleep(max(0, in_touch + random.uniform(0, 0.5) - now()))
        _, _, numbers, _ = await send(1.0)
        new.append(bool(numbers))

    tasks = [keep(stream(outage + random.uniform(*BEGIN_S))) for _ in range(STREAMS)]
    tasks += [keep(new_stream()) for _ in range(NEW_STREAMS)]
    if trouble:
        tasks.append(keep(restart()))
    await asyncio.gather(*tasks)
    share, new_share = sum(taken_up) / max(1, len(taken_up)), sum(new) / max(1, len(new))
    print(f"{len(taken_up)} streams are taken up at machines in touch, {sum(taken_up)} go on; "
          f"{sum(new)} of {len(new)} new streams begin; {mixed} hold "
          "events of two versions")
    if len(taken_up) < 12 or new_share < 0.5:
        raise CannotRun("too few streams to judge")
    held = share >= new_share / 2
    record.add("verdict", rule="LOST", held=held)
    return held


run_case(main)
