"""Streams move to another software version before their first event; then all routers die."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig as r  # noqa: E402

STREAMS = 120


class Engine(r.Replica):
    """Sends the head at once, and the first event when it has read the prompt."""

    async def before_event(self, number):
        await asyncio.sleep(0.5 if number == 1 else self.gap_s)


async def play(rig):
    versions = ["v1"] * 3 + ["v2"] * 3
    replicas = [Engine(rig, f"i-{n}", version, events=80, gap_s=0.1)
                for n, version in enumerate(versions)]
    await rig.start(2, replicas, r.config(7, [r.route("draft", "/draft/")], [r.service()]))
    for number in range(STREAMS):
        rig.send(r.Stream(rig, f"/draft/{number}", tag=f"s{number}"))
    await asyncio.sleep(0.35)
    if r.TROUBLE:
        replicas[0].crash()
    await asyncio.sleep(2.0)
    if r.TROUBLE:
        await rig.restart_all()
        await replicas[0].start()
    await rig.settle()
    return r.report_versions(rig)


if __name__ == "__main__":
    r.main(Path(__file__).resolve().parent, play)
