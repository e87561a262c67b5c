"""Links between the daemons of a deployment that can be cut.

Each machine advertises the address of a link to the other daemons, which
forwards to the daemon's own address. A daemon connects from its machine's
address, so a link knows the machine at its other end.
"""

import asyncio
import contextlib


class Links:
    """Forwards connections between daemons, except over cut links."""

    def __init__(self, deployment, port):
        self.lab = deployment
        self.port = port
        self.cut_off = set()
        self._pairs = {}

    def advertise(self, machine):
        """Return the setting by which others reach a machine's daemon."""
        return f'  advertise: "{machine.ip}:{self.port}",\n'

    async def start(self, machine):
        async def accept(reader, writer):
            await self._forward(machine, reader, writer)

        self.lab.servers.append(
            await asyncio.start_server(accept, machine.ip, self.port))

    def cut(self, machine):
        """Partition a machine from all others; their bytes are dropped."""
        self.cut_off.add(machine.ip)
        self.lab.note(f"{machine.name}: cut off")

    def heal(self, machine):
        """End the partition; connections that were cut are reset."""
        self.cut_off.discard(machine.ip)
        for writers, ends in list(self._pairs.items()):
            if machine.ip in ends:
                for writer in writers:
                    writer.transport.abort()
        self.lab.note(f"{machine.name}: reachable again")

    async def _forward(self, machine, reader, writer):
        ends = (writer.get_extra_info("peername")[0], machine.ip)
        try:
            onward = await asyncio.open_connection(
                machine.ip, machine.port("inbound"))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, onward[1])
        self._pairs[pair] = ends
        try:
            await asyncio.gather(
                self._pump(reader, onward[1], ends),
                self._pump(onward[0], writer, ends))
        except OSError:
            for each in pair:
                each.transport.abort()
        finally:
            del self._pairs[pair]
            for each in pair:
                each.close()

    def _is_cut(self, ends):
        return not self.cut_off.isdisjoint(ends)

    async def _pump(self, reader, writer, ends):
        lost = False
        while data := await reader.read(65536):
            lost = lost or self._is_cut(ends)
            if not lost:
                writer.write(data)
                await writer.drain()
        while self._is_cut(ends):
            # The end of a connection does not pass a partition either.
            await asyncio.sleep(0.05)
        with contextlib.suppress(OSError):
            writer.write_eof()
