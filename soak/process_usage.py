"""Memory and descriptors of a running process, read from /proc."""

import asyncio
import os

BYTES_PER_MB = 1 << 20
LISTENING = "0A"


def status_kb(pid, name):
    """Returns a value of /proc/PID/status, 0 if the process has ended."""
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith(name + ":"):
                    return int(line.split()[1])
    except OSError:
        pass
    return 0


def open_descriptors(pid):
    """Returns what the descriptors of the process refer to."""
    targets = []
    try:
        for name in os.listdir(f"/proc/{pid}/fd"):
            try:
                targets.append(os.readlink(f"/proc/{pid}/fd/{name}"))
            except OSError:
                pass
    except OSError:
        pass
    return targets


def unread_bytes(sockets):
    """Returns the bytes that have been received on the sockets, given as their
    descriptors' targets, and that the process has not read."""
    inodes = {target[len("socket:["):-1] for target in sockets}
    unread = 0
    with open("/proc/net/tcp", encoding="ascii") as table:
        next(table)
        for line in table:
            fields = line.split()
            if fields[9] in inodes and fields[3] != LISTENING:
                unread += int(fields[4].split(":")[1], 16)
    return unread


class UsageWatch:
    """Largest use of memory and sockets that has been seen of a process."""

    PERIOD_S = 0.02

    def __init__(self, pid):
        self.pid = pid
        self.most_sockets = self.most_descriptors = 0
        # Resident memory and unread bytes at the same moment.
        self.most_held_mb = self.most_unread_mb = 0.0

    def sample(self):
        descriptors = open_descriptors(self.pid)
        sockets = [target for target in descriptors
                   if target.startswith("socket:")]
        unread = unread_bytes(sockets)
        resident = status_kb(self.pid, "VmRSS") * 1024
        self.most_sockets = max(self.most_sockets, len(sockets))
        self.most_descriptors = max(self.most_descriptors, len(descriptors))
        self.most_unread_mb = max(self.most_unread_mb, unread / BYTES_PER_MB)
        self.most_held_mb = max(self.most_held_mb,
                                (resident + unread) / BYTES_PER_MB)

    async def run(self):
        while True:
            self.sample()
            await asyncio.sleep(self.PERIOD_S)

    def peak_mb(self):
        """Returns the largest memory of the process, with the unread bytes as
        far as a sample has seen both."""
        return max(self.most_held_mb, status_kb(self.pid, "VmHWM") / 1024)
