"""Stand-in of a machine of the platform, which runs one gateway process."""

import asyncio
import dataclasses
import os
import pathlib
import random
import signal
import socket
import sys

NETWORK_LIMIT = 251
RESERVATION_PORT = 8219

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
retry_budget_ratio = {retry_ratio}
retry_budget_slack = {retry_slack}
budget_window_s = {retry_window_seconds}
quota_window_s = {quota_window_seconds}
quota_overage = {quota_ratio}
quota_slack = {quota_slack}
exposure_share = {exposure_share}
exposure_slack = {exposure_slack}
rollback_ms = {rollback_ms}
"""


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Limits in the settings file; field names are placeholders in BOOT_FILE.

    Attributes:
        revoke_ms: longest time until a revoked key is refused.
        grace_seconds: grace period of a planned stop.
        retry_ratio: retries allowed for each request.
        retry_slack: retries allowed in addition.
        retry_window_seconds: window that retries are counted in.
        quota_window_seconds: window that quota usage is counted in.
        quota_ratio: allowed overrun of a quota, as a share of it.
        quota_slack: allowed overrun in addition.
        exposure_share: share of a service's requests that an unproven
            software version may get.
        exposure_slack: requests that it may get in addition.
        rollback_ms: longest time until a bad version gets no more requests.
    """

    revoke_ms: int
    grace_seconds: int
    retry_ratio: float
    retry_slack: float
    retry_window_seconds: float
    quota_window_seconds: float
    quota_ratio: float
    quota_slack: float
    exposure_share: float = 0.1
    exposure_slack: float = 0.0
    rollback_ms: int = 5000


def describe_process(pid: int) -> str:
    """Returns what a process does: its state, processor time and wait channel.

    A state of Z means that it has ended, and its parent was not told yet.
    """
    folder = pathlib.Path("/proc") / str(pid)
    try:
        # The name before the last bracket may contain blanks.
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        waits_in = (folder / "wchan").read_text()
    except OSError as error:
        return f"unreadable, {type(error).__name__}"
    ticks = int(fields[11]) + int(fields[12])
    seconds = ticks / os.sysconf("SC_CLK_TCK")
    return f"state {fields[0]}, processor {seconds:.2f} s, in {waits_in}"


class Network:
    """A range of loopback addresses that no other run on the machine uses.

    The range is reserved by a socket bound to one of its addresses.

    Attributes:
        number: second byte of the addresses.
    """

    def __init__(self):
        """Reserves a free range until `close`.

        Raises:
            OSError: all ranges are in use.
        """
        numbers = random.sample(range(1, NETWORK_LIMIT), NETWORK_LIMIT - 1)
        for self.number in numbers:
            self._reservation = socket.socket()
            try:
                self._reservation.bind(
                    (f"127.{self.number}.0.250", RESERVATION_PORT)
                )
            except OSError:
                self._reservation.close()
                continue
            return
        raise OSError("no range of loopback addresses is free")

    def close(self) -> None:
        """Releases the range."""
        self._reservation.close()


class Machine:
    """Runs one gateway process at a loopback address of its own.

    Attributes:
        name: name of the instance.
        host: its address; the ports are the same on all machines.
        process: the process started last; None before the first start.
        late_state: state of the process that `wait_ended` killed last, as
            `describe_process` returns it.
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
        options: str = "",
    ):
        """Writes the settings files.

        Args:
            number: index of the machine, from 0.
            folder: directory for the settings and the log.
            store: address at which the machine reaches the store.
            bounds: limits in the settings.
            network: addresses of this run.
            options: contents of the operators' settings file; "" for no file.
        """
        self.name = f"gate-{number}"
        self.host = f"127.{network.number}.0.{number + 1}"
        self.process: asyncio.subprocess.Process | None = None
        self.late_state = ""
        self._settings_file = folder / f"{self.name}.toml"
        self._options_file = folder / f"{self.name}.ini" if options else None
        if self._options_file:
            self._options_file.write_text(options, encoding="utf-8")
        self._log_file = folder / f"{self.name}.log"
        settings = BOOT_FILE.format(
            name=self.name,
            host=self.host,
            domain=("north", "south", "west")[number % 3],
            peer_port=self.PEER_PORT,
            front_port=self.FRONT_PORT,
            ready_port=self.READY_PORT,
            store=store,
            **dataclasses.asdict(bounds),
        )
        self._settings_file.write_text(settings, encoding="utf-8")

    async def start(self) -> None:
        """Starts the process; its output is appended to the log."""
        environment = os.environ | {
            "CRANBERRYGLADE_BOOT": str(self._settings_file)
        }
        if self._options_file:
            environment["CRANBERRYGLADE_SETTINGS"] = str(self._options_file)
        with open(self._log_file, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cranberryglade.platform",
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_ended(self, seconds: float) -> bool:
        """Waits for the process to end, and kills it after a timeout.

        Args:
            seconds: the timeout.

        Returns:
            Whether the process ended in time.
        """
        try:
            async with asyncio.timeout(seconds):
                await self.process.wait()
        except TimeoutError:
            self.late_state = describe_process(self.process.pid)
            self.signal(signal.SIGKILL)
            await self.process.wait()
            return False
        return True

    async def kill(self) -> None:
        """Kills the process, even if it is paused, and waits for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
