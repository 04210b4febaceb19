"""Clients that send requests on loopback and do not behave."""

import asyncio
import socket
import sys

from world import read_message

RECEIVE_BUFFER_BYTES = 4096
# Attempts at an ordinary request, and the time for each.
ATTEMPTS, TIMEOUT_S = 20, 3.0


class Clients:
    """Connections to one address, which stay open until close()."""

    def __init__(self, ip):
        self.ip, self.sockets = ip, []

    async def connect(self, port):
        """Returns a connected socket with a small receive buffer, or None."""
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                          RECEIVE_BUFFER_BYTES)
        client.setblocking(False)
        self.sockets.append(client)
        try:
            await asyncio.get_running_loop().sock_connect(client,
                                                          (self.ip, port))
            return client
        except OSError:
            return None

    async def send(self, client, data):
        if client:
            try:
                await asyncio.get_running_loop().sock_sendall(client, data)
            except OSError:
                pass

    async def receive(self, client, size):
        """Returns False once nothing more arrives."""
        try:
            return bool(await asyncio.get_running_loop().sock_recv(client,
                                                                   size))
        except OSError:
            return False

    async def silent_client(self, port):
        await self.connect(port)

    async def burst_client(self, port, request, reads):
        """Leaves an answer unread, or reads 2 KB of it per second."""
        await self.drip_client(port, request, 1024 if reads else 0)

    async def drip_client(self, port, request, size):
        """Reads `size` bytes of an answer at a time, twice a second."""
        client = await self.connect(port)
        await self.send(client, request)
        while size and client and await self.receive(client, size):
            await asyncio.sleep(0.5)

    def close(self):
        for client in self.sockets:
            client.close()


async def is_answered(connect, request, body):
    """Sends a request, as a client that tries again, until it is answered with
    the body; returns whether it was.

    `connect` returns a reader and a writer, `request` the bytes to send.
    """
    for _ in range(ATTEMPTS):
        writer = None
        try:
            reader, writer = await asyncio.wait_for(connect(), TIMEOUT_S)
            writer.write(request())
            message = await asyncio.wait_for(read_message(reader), TIMEOUT_S)
            if message and message[3] and " 200 " in message[0] and (
                    message[2] == body):
                return True
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            if writer:
                writer.close()
        await asyncio.sleep(0.5)
    return False


def run_patterns(parser, patterns, run):
    """Runs the patterns that the command line names, all by default. `run`
    takes a name and the options, and returns whether the pattern has passed.

    Exits with 1 if one failed that --known-red does not name.
    """
    parser.add_argument("--patterns", default=",".join(patterns))
    parser.add_argument("--known-red", default="")
    options = parser.parse_args()
    known_red = set(filter(None, options.known_red.split(",")))
    if not known_red <= set(patterns):
        parser.error(f"no such pattern: {', '.join(known_red - set(patterns))}")
    is_sound = True
    for name in options.patterns.split(","):
        has_passed = run(name, options)
        if name in known_red:
            print(f"{name}: in KNOWN-RED.txt, "
                  f"{'passed' if has_passed else 'failed as listed'}",
                  flush=True)
        else:
            is_sound = is_sound and has_passed
    sys.exit(0 if is_sound else 1)
