"""A gateway process with its store and endpoint, and what it takes."""

import asyncio
import dataclasses
import os
import pathlib
import random
import re
import sys

from cranberryglade.standins import callers
from cranberryglade.standins import free_ports

START_SECONDS = 20.0
ATTEMPTS = 40
ATTEMPT_SECONDS = 5.0
PAUSE_SECONDS = 0.25
BYTES_PER_KB = 1024

BOOT = """
node = "front-1"
ip = "{host}"
zone = "north"
internal_port_range = [{peer_port}, {peer_port}]
[listen]
front = "{host}:{front_port}"
ready = "{host}:{ready_port}"
[limits]
memory_mb = {memory_mb}
max_fds = {max_descriptors}
[bounds]
retry_budget_slack = 100
[platform]
address = "{store}"
"""


@dataclasses.dataclass(slots=True)
class Deployment:
    """The processes, started by `start`; to be stopped by `stop`.

    Attributes:
        directory: where the settings and the log are written.
        memory_mb: memory of the gateway's machine, in MB.
        max_descriptors: descriptors that the gateway may use.
    """

    directory: pathlib.Path
    memory_mb: float = 40.0
    max_descriptors: int = 4096
    _processes: list = dataclasses.field(default_factory=list)
    _gateway: asyncio.subprocess.Process | None = None
    _address: tuple[str, int] = ("", 0)

    @property
    def lives(self) -> bool:
        """Whether the gateway's process has not ended."""
        return self._gateway.returncode is None

    @property
    def resident_bytes(self) -> int:
        """Resident memory of the gateway now."""
        return self._read_status("VmRSS")

    @property
    def peak_bytes(self) -> int:
        """The most resident memory of the gateway so far."""
        return self._read_status("VmHWM")

    @property
    def descriptors(self) -> int:
        """Open descriptors of the gateway."""
        return len(os.listdir(f"/proc/{self._gateway.pid}/fd"))

    async def start(self) -> None:
        """Starts the processes and waits until a request is answered."""
        row = await self._start_standin("endpoint")
        store = await self._start_standin("store", row)
        # The port of the metrics is fixed, so that the address must differ.
        host = "127." + ".".join(str(random.randint(2, 250)) for _ in range(3))
        self._address = (host, free_ports.free_port())
        settings = self.directory / "boot.toml"
        settings.write_text(
            BOOT.format(
                host=host,
                peer_port=free_ports.free_port(),
                front_port=self._address[1],
                ready_port=free_ports.free_port(),
                memory_mb=self.memory_mb,
                max_descriptors=self.max_descriptors,
                store=store,
            ),
            encoding="utf-8",
        )
        with open(self.directory / "log", "wb") as log:
            self._gateway = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "cranberryglade.platform"),
                stdout=log,
                stderr=log,
                env=os.environ | {"CRANBERRYGLADE_BOOT": str(settings)},
            )
        self._processes.append(self._gateway)
        assert await self.is_answered()

    async def stop(self) -> None:
        """Kills the processes."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()
            await process.wait()

    async def connect(self) -> callers.Caller:
        """Opens a connection of a caller."""
        opened = await asyncio.open_connection(*self._address, limit=8192)
        return callers.Caller(*opened)

    async def is_answered(self) -> bool:
        """Returns whether an ordinary request is answered.

        A caller that is refused, or whose connection is closed, comes back.
        """
        for _ in range(ATTEMPTS):
            try:
                async with asyncio.timeout(ATTEMPT_SECONDS):
                    if await self._send_ordinary() == 200:
                        return True
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(PAUSE_SECONDS)
        return False

    async def _send_ordinary(self) -> int:
        caller = await self.connect()
        try:
            caller.request(
                "/pay/1",
                "POST",
                b"an ordinary body",
                X_Attempt_Id=f"o-{random.getrandbits(48)}",
            )
            return (await caller.answer()).status
        finally:
            caller.close()

    async def _start_standin(self, *arguments: str) -> str:
        started = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "cranberryglade.tests.memory_standins"),
            *arguments,
            stdout=asyncio.subprocess.PIPE,
        )
        self._processes.append(started)
        async with asyncio.timeout(START_SECONDS):
            return (await started.stdout.readline()).decode().strip()

    def _read_status(self, name: str) -> int:
        path = pathlib.Path(f"/proc/{self._gateway.pid}/status")
        found = re.search(rf"{name}:\s+(\d+) kB", path.read_text())
        return int(found[1]) * BYTES_PER_KB
