"""Stand-in of a machine of the users' platform: one gateway process."""

import asyncio
import dataclasses
import os
import pathlib
import random
import signal
import socket
import sys

LAST_NETWORK = 251
CLAIM_PORT = 8219

BOOT_FILE = """\
node = "{name}"
ip = "{host}"
zone = "{domain}"
internal_port_range = [{peer_port}, {peer_port}]
[listen]
front = "{host}:{front_port}"
ready = "{host}:{ready_port}"
[platform]
address = "{store}"
[bounds]
revoke_ms = {revoke_ms}
enforce_revocation = true
grace_s = {grace_seconds}
retry_budget_ratio = {repeats_ratio}
retry_budget_slack = {repeats_slack}
budget_window_s = {repeats_window_seconds}
quota_window_s = {quota_window_seconds}
quota_overage = {quota_ratio}
quota_slack = {quota_slack}
"""


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """What the settings file tells a gateway to keep."""

    revoke_ms: int
    grace_seconds: int
    repeats_ratio: float
    repeats_slack: float
    repeats_window_seconds: float
    quota_window_seconds: float
    quota_ratio: float
    quota_slack: float


class Network:
    """Loopback addresses that no other run of this machine uses.

    Attributes:
        number: second byte of its addresses.
    """

    def __init__(self):
        """Takes a free one and keeps it until `close`."""
        numbers = random.sample(range(1, LAST_NETWORK), LAST_NETWORK - 1)
        for self.number in numbers:
            self._claim = socket.socket()
            try:
                self._claim.bind((f"127.{self.number}.0.250", CLAIM_PORT))
            except OSError:
                self._claim.close()
                continue
            return
        raise OSError("no loopback addresses are free")

    def close(self) -> None:
        """Gives it back."""
        self._claim.close()


class Machine:
    """Runs one gateway at a loopback address of its own.

    Attributes:
        name: name of the instance.
        host: its address; the ports are the same on all machines.
        process: the process; None while it is down.
    """

    FRONT_PORT = 8221
    READY_PORT = 8224
    PEER_PORT = 7600

    def __init__(
        self,
        number: int,
        folder: pathlib.Path,
        store: str,
        bounds: Bounds,
        network: Network,
    ):
        """Sets it up.

        Args:
            number: its place among the machines.
            folder: where its settings and logs lie.
            store: address of the platform's store, as seen from here.
            bounds: what its settings say.
            network: the addresses of this run.
        """
        self.name = f"gate-{number}"
        self.host = f"127.{network.number}.0.{number + 1}"
        self.process: asyncio.subprocess.Process | None = None
        self._boot = folder / f"{self.name}.toml"
        self._log = folder / f"{self.name}.log"
        text = BOOT_FILE.format(
            name=self.name,
            host=self.host,
            domain=("north", "south", "west")[number % 3],
            peer_port=self.PEER_PORT,
            front_port=self.FRONT_PORT,
            ready_port=self.READY_PORT,
            store=store,
            **dataclasses.asdict(bounds),
        )
        self._boot.write_text(text, encoding="utf-8")

    async def start(self) -> None:
        """Starts the process."""
        environment = os.environ | {"CRANBERRYGLADE_BOOT": str(self._boot)}
        with open(self._log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cranberryglade.platform",
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it is there."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def ended(self, seconds: float) -> bool:
        """Waits for the process to end; kills it when that takes too long."""
        try:
            async with asyncio.timeout(seconds):
                await self.process.wait()
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
            return False
        return True

    async def kill(self) -> None:
        """Kills the process, also when it is paused."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
