"""The platform's part of two cases: it ends a process that uses more memory than its machine has,
and starts each process again that has ended."""

import asyncio
from pathlib import Path

from rig_3 import now


class Machine:
    """A router under the platform's watch."""

    def __init__(self, router, memory_mb, record):
        self.router, self.limit_bytes, self.record = router, memory_mb << 20, record
        self.peak_bytes = 0
        # Ends for lack of memory, and other ends.
        self.kills = self.ends = 0

    def used_bytes(self):
        """Memory that the process allocated; the pages of its program are left out."""
        try:
            status = Path(f"/proc/{self.router.process.pid}/status").read_text()
        except OSError:
            return 0
        for line in status.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) << 10
        return 0

    async def watch(self, end):
        name = self.router.name
        while now() < end:
            used = self.used_bytes()
            self.peak_bytes = max(self.peak_bytes, used)
            if self.router.process.poll() is not None:
                self.ends += 1
                self.record.add("process-ended", router=name, code=self.router.process.returncode)
            elif used > self.limit_bytes:
                self.kills += 1
                self.record.add("platform-kills", router=name, memory_bytes=used,
                                limit_bytes=self.limit_bytes)
                self.router.kill()
            else:
                await asyncio.sleep(0.02)
                continue
            await asyncio.sleep(1)
            self.router.start()

    def __str__(self):
        return (f"{self.router.name}: peak {self.peak_bytes / (1 << 20):.1f} of "
                f"{self.limit_bytes >> 20} MB, killed {self.kills} times, other ends {self.ends}")


def breaks_fault(machines):
    """Whether processes end by themselves three times or more on a tenth of the machines, two at
    least."""
    failing = sum(machine.kills + machine.ends >= 3 for machine in machines)
    return failing >= max(2, len(machines) / 10)
