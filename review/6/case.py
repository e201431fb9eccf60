"""A release begins, the store is down, and all routers are killed."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from rig_2 import (  # noqa: E402
    FRONT, METRICS_PORT, Client, Fleet, Replica, Store, config, get, json_answer, main, read_head, route, until,
)

OLD, NEW = 15, 3
STREAMS = 120
EVENTS, EVENT_GAP_S = 45, 0.1
# `platform_down` has for_s 4.5.
DOWN_S = 4.5
BEAT_S = 1.2
LIMIT_S = 12.0
# First attempt included.
TRIES, TRY_GAP_S = 5, 1.5


class DownStore(Store):
    """A store that is down for a while: it does nothing and answers 503."""

    is_down = False

    async def handle(self, method, kind, name, query, body):
        unavailable = json_answer("503 Service Unavailable", {})
        if self.is_down:
            return unavailable
        reply = await super().handle(method, kind, name, query, body)
        # A watch that waited when the store went down.
        return unavailable if method == "GET" and self.is_down else reply


class Versioned(Replica):
    """A replica of a software version, which states it in its events."""

    version = "v1"

    def entry(self, phase="ready"):
        return {**super().entry(phase), "version": self.version}

    async def beat(self, store, phase="ready", every_s=BEAT_S):
        while True:
            if not store.is_down:
                await store.put("servers", self.name, self.entry(phase))
            await asyncio.sleep(every_s)

    async def answer(self, line, headers, body, reader, writer):
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-replica") not in (None, self.name):
            return await super().answer(line, headers, body, reader, writer)
        first = int(headers.get("last-event-id", "0")) + 1
        self.runs.append((self.record.now(), attempt, first))
        self.running[attempt] = True
        try:
            head = (
                f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Replica-Signature: {self.name}.{attempt}\r\n"
                f"X-Replica-Load: {len(self.running)},0,{self.slots}\r\nX-Weight-Versions: 1\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            await asyncio.sleep(0.06)
            writer.write(head.encode())
            for number in range(first, EVENTS + 1):
                event = f"id: {number}\ndata: {self.version}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
                await asyncio.sleep(EVENT_GAP_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running.pop(attempt, None)


async def part(ip, attempt, deadline_ms, extra, events):
    """One attempt. Appends (id, version) to `events`; returns the status, 0 if it broke off, and Retry-After."""
    client = Client(ip, FRONT)
    try:
        await client.open()
        usage = f"X-Model: m\r\nX-Token-Usage: 900,400\r\nX-Prefix-Hash: {abs(hash(attempt)):x}:900\r\n"
        client.send("POST", "/draft/1", attempt, deadline_ms, b"x", usage + extra)
        head = await asyncio.wait_for(read_head(client.reader), 4)
        if head is None:
            return 0, 0.3
        status = int(head[0].split(" ")[1])
        if status != 200:
            return status, float(head[1].get("retry-after", "0.5"))
        while True:
            size = int(await asyncio.wait_for(client.reader.readline(), 3), 16)
            chunk = (await asyncio.wait_for(client.reader.readexactly(size + 2), 3)).decode()
            if size == 0:
                return 200, 0
            number = version = None
            for text in chunk.split("\n"):
                if text.startswith("id: "):
                    number = int(text[4:])
                elif text.startswith("data: "):
                    version = text[6:]
                elif not text and number is not None:
                    events.append((number, version))
                    number = None
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return 0, 0.3
    finally:
        client.close()


async def case(record, has_trouble):
    async with Fleet(record, routers=3, store=DownStore) as fleet:
        store = fleet.store
        drafts = route("streaming", "/draft/", "assistant", timeoutMs=12_000, targetLatencyMs=400, maxAttempts=2, streamResume=True)
        document = config(3, [drafts], ["assistant"])
        document["services"][0]["engine"] = {"slots": 48, "kvCapacityTokens": 729_341, "models": [{"name": "m"}]}
        await store.put("config", "main", document)

        async def replica(name, version):
            one = await Versioned(name, fleet.ip, record, service="assistant", slots=48).start()
            one.version = version
            fleet.servers.append(one)
            one.beating = fleet.background(one.beat(store))
            return one

        old = [await replica(f"i-old-{n:02}", "v1") for n in range(OLD)]
        routers = await fleet.start_routers()
        await asyncio.sleep(6)
        record.line(f"history {store.objects.get(('rosemaryspan-streams', 'history'), {}).get('spec')}")
        new = [await replica(f"i-new-{n}", "v2") for n in range(NEW)]

        async def knows_all():
            for router in routers:
                page = await get(router.ip, METRICS_PORT, "/metrics")
                if f"rosemaryspan_upstreams {OLD + NEW}" not in page.body.decode():
                    return False
            return True

        await until("routers know the new replicas", knows_all)
        record.line("all routers know v2")
        down = record.now()
        if has_trouble:
            store.is_down = True
            record.line("the store is down")
        streams = [[] for _ in range(STREAMS)]
        results = {}

        async def follow(index):
            events, first = streams[index], f"s{index}-0"
            end = record.now() + LIMIT_S
            tries = 0
            while record.now() < end and tries < TRIES:
                attempt = f"s{index}-{tries}"
                extra = f"Last-Event-Id: {events[-1][0]}\r\nResumes: {first}\r\n" if events else ""
                if not events:
                    first = attempt
                router = routers[(index + tries) % len(routers)]
                status, wait_s = await part(router.ip, attempt, int((end - record.now()) * 1000), extra, events)
                results[index] = status
                if status == 200:
                    return
                tries += 1
                await asyncio.sleep(max(wait_s, TRY_GAP_S))

        following = [asyncio.ensure_future(follow(index)) for index in range(STREAMS)]
        await asyncio.sleep(2.4)
        begun = sum(1 for events in streams if events)
        record.line(f"{begun} of {STREAMS} streams have begun, {sum(1 for e in streams if e and e[0][1] == 'v2')} of them at v2")
        if has_trouble:
            record.line("all routers are killed")
            for router in routers:
                router.signal(signal.SIGKILL)
            await asyncio.gather(*(router.process.wait() for router in routers))
            await asyncio.sleep(0.5)
            for router in routers:
                router.settings.write_text(router.settings.read_text().replace("bootstrap = true", "bootstrap = false"))
                await router.start()
            await asyncio.sleep(max(0, down + DOWN_S - record.now()))
            store.is_down = False
            record.line("the store is back")
        await asyncio.gather(*following)
        mixed = [index for index, events in enumerate(streams) if len({version for _, version in events}) > 1]
        whole = sum(1 for index in range(STREAMS) if results.get(index) == 200)
        at_v2 = sum(1 for e in streams if e and e[0][1] == "v2")
        record.line(f"{at_v2} streams began at v2; {whole} of {STREAMS} complete; {len(mixed)} hold events of two versions: {mixed[:20]}")
        return len(mixed) <= 2


main(case, FOLDER)
