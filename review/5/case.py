"""A router is killed while the first replica of another software version registers."""
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig as r  # noqa: E402

STREAMS = 100


async def play(rig):
    old = [r.Replica(rig, f"i-{n}", "v1", events=70, gap_s=0.1) for n in range(3)]
    new = r.Replica(rig, "i-9", "v2", events=70, gap_s=0.1)
    await rig.start(3, old, r.config(7, [r.route("draft", "/draft/")], [r.service()]))
    begun = []
    for number in range(STREAMS):
        begun.append(rig.send(r.Stream(rig, f"/draft/{number}", tag=f"s{number}")))
        await asyncio.sleep(0.012)
    await asyncio.sleep(0.8)
    killed = rig.routers[0]
    if r.TROUBLE:
        killed.kill()
        asyncio.get_running_loop().call_later(3.0, killed.start, rig.seeds(), False)
    # A release begins: the new replica starts first.
    rig.replicas.append(new)
    await new.start()
    fresh = []
    for number in range(60):
        fresh.append(rig.send(r.Stream(rig, f"/draft/n{number}", tag=f"n{number}"), max_attempts=1))
        await asyncio.sleep(0.05)
    await rig.settle()
    # Only attempts at the routers that are in touch, those that live all the time.
    in_touch = [router.ip for router in rig.routers if router is not killed]
    tries = [[attempt for attempt in stream.attempts[1:] if attempt.ip in in_touch] for stream in begun]
    taken_up = [attempts for attempts in tries if attempts]
    go_on = sum(any(attempt.events for attempt in attempts) for attempts in taken_up)
    new_tries = [stream for stream in fresh if stream.attempts[0].ip in in_touch]
    begin = sum(bool(stream.events()) for stream in new_tries)
    statuses = [attempt.status for attempts in taken_up for attempt in attempts]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    rig.record.say(f"{len(taken_up)} streams taken up again at routers in touch, {go_on} go on (answers "
                   f"by status: {counts}); {begin} of {len(new_tries)} new streams begin "
                   f"(LOST: of 12 or more, at least half of that share)")
    if len(new_tries) < 12:
        raise r.CannotRun("too few new streams")
    return 1 if len(taken_up) >= 12 and go_on / len(taken_up) < begin / len(new_tries) / 2 else 0


if __name__ == "__main__":
    r.main(Path(__file__).resolve().parent, play)
