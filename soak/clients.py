"""Clients that send requests on loopback and do not behave."""

import asyncio
import socket

RECEIVE_BUFFER_BYTES = 4096


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
