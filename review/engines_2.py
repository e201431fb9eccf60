"""Replicas of a model with a prompt part that crashes them, and clients that ask for streams."""

import asyncio
import time

from rig_2 import FRONT, Answer, Client, Replica, config, read_head, route

CRASHING_PART, SOUND_PART = "bad0", "900d"
BACK_AFTER_S = 2.5
EVENTS, EVENT_GAP_S = 20, 0.1


class Engine(Replica):
    """A sound replica of a model, but that it crashes as it begins to write an answer on a prompt
    with the crashing part. It is back after some seconds under its id. Its `fleet` is set by the case."""

    crashes, part_arrivals = None, None

    async def crash(self):
        self.beating.cancel()
        self.record.line(f"replica {self.name} crashes with {len(self.running)} streams at work")
        self.crashes.append(self.record.now())
        await self.end()
        await asyncio.sleep(BACK_AFTER_S)
        self.born, self.sequence = int(time.time() * 1000), 0
        await self.start()
        self.record.line(f"replica {self.name} is back")
        self.beating = self.fleet.background(self.beat(self.fleet.store))

    async def answer(self, line, headers, body, reader, writer):
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-replica") not in (None, self.name):
            return await super().answer(line, headers, body, reader, writer)
        parts = [part.split(":")[0] for part in headers.get("x-prefix-hash", "").split(",")][:-1]
        self.runs.append((self.record.now(), attempt))
        self.running[attempt] = True
        try:
            if CRASHING_PART in parts:
                self.record.line(f"replica {self.name} gets {attempt}, which has the crashing part")
                self.part_arrivals.append(self.record.now())
            await asyncio.sleep(0.06)
            if CRASHING_PART in parts:
                self.fleet.background(self.crash())
                return False
            head = (
                f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Replica-Signature: {self.name}.{attempt}\r\n"
                f"X-Replica-Load: {len(self.running)},0,{self.slots}\r\nX-Weight-Versions: 1\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            writer.write(head.encode())
            for number in range(1, EVENTS + 1):
                event = f"id: {number}\ndata: piece {number} of {attempt}\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                await writer.drain()
                await asyncio.sleep(EVENT_GAP_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running.pop(attempt, None)


async def stream(ip, attempt, part):
    """Asks for a stream. Returns what the client saw and the number of whole events."""
    client = Client(ip, FRONT)
    events = 0
    try:
        await client.open()
        usage = f"X-Model: m\r\nX-Token-Usage: 900,80\r\nX-Prefix-Hash: a1:400,{part}:300,{abs(hash(attempt)):x}:200\r\n"
        client.send("POST", "/draft/1", attempt, 12_000, b"x", usage)
        head = await asyncio.wait_for(read_head(client.reader), 6)
        if head is None:
            return Answer(0, cause="closed without an answer"), 0
        status = int(head[0].split(" ")[1])
        if status != 200:
            return Answer(status, head[1], cause=head[1].get("retry-after", "")), 0
        while True:
            size = int(await asyncio.wait_for(client.reader.readline(), 6), 16)
            chunk = await asyncio.wait_for(client.reader.readexactly(size + 2), 6)
            if size == 0:
                return Answer(200, cause="whole"), events
            events += chunk.count(b"\n\n")
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        return Answer(0, cause=f"broken off: {type(error).__name__}"), events
    finally:
        client.close()


def document(version):
    """A configuration with one route for streams that nobody can take up."""
    drafts = route("streaming", "/draft/", "assistant", timeoutMs=12_000, targetLatencyMs=400, sessionAffinity=True)
    written = config(version, [drafts], ["assistant"])
    written["services"][0]["engine"] = {"slots": 48, "kvCapacityTokens": 729_341, "models": [{"name": "m"}]}
    return written


async def start_engines(fleet, count):
    """Starts replicas, which write their entries."""
    Engine.crashes, Engine.part_arrivals = [], []
    await fleet.store.put("config", "main", document(3))
    for number in range(count):
        engine = await Engine(f"i-{number:02}", fleet.ip, fleet.record, service="assistant", slots=48).start()
        engine.fleet = fleet
        fleet.servers.append(engine)
        engine.beating = fleet.background(engine.beat(fleet.store))


class Callers:
    """Clients that ask for streams, and what became of them."""

    def __init__(self, fleet):
        self.fleet, self.record = fleet, fleet.record
        self.sent, self.sound, self.broken_off = 0, 0, []

    async def ask(self, kind, router, part):
        self.sent += 1
        attempt = f"{kind}-{self.sent}"
        answer, events = await stream(router.ip, attempt, part)
        if kind != "sound":
            self.record.line(f"{attempt} at {router.name}: {answer}")
            return
        self.sound += 1
        if answer.status == 0 and events:
            self.broken_off.append(attempt)
            self.record.line(f"{attempt} at {router.name}: {answer} after {events} events")

    async def ask_all_the_time(self, kind, part, gap_s):
        while True:
            for router in self.fleet.routers:
                self.fleet.background(self.ask(kind, router, part))
                await asyncio.sleep(gap_s)
