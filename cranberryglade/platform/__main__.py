"""The gateway program, which the platform starts on each machine."""

import sys

from returns.result import Failure
from returns.result import Success

from cranberryglade import log
from cranberryglade import logoutput
from cranberryglade.gateway import clock
from cranberryglade.gateway import process
from cranberryglade.platform import boot
from cranberryglade.platform import documents
from cranberryglade.platform import headers
from cranberryglade.platform import store

EXIT_SETTINGS = 2
METRICS_PORT = 9464


def main() -> None:
    """Runs one gateway until SIGTERM; exits with 2 on invalid settings."""
    match boot.read():
        case Failure(problem):
            sys.stderr.write(f"{problem}\n")
            sys.exit(EXIT_SETTINGS)
        case Success(configured):
            output = logoutput.LogOutput(sys.stdout.fileno())
            log.configure("info", configured.instance, output)
            clock.run(_serve(configured))


async def _serve(configured) -> None:
    await process.Gateway(
        configured,
        store.StoreClient(configured.store_address),
        documents.Decoder(),
        headers.HeaderDialect(),
        METRICS_PORT,
        boot.read,
    ).run()


if __name__ == "__main__":
    main()
