"""Log output is bounded in rate and size and never blocks on its reader."""

import asyncio
import os

from cranberryglade import logoutput


def read_all(descriptor) -> bytes:
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while part := os.read(descriptor, 65_536):
            data += part
    except BlockingIOError:
        pass
    return data


async def test_slow_reader_drops_lines_without_blocking():
    reader, writer = os.pipe()
    output = logoutput.LogOutput(writer)
    line = "x" * 1000
    started_at = asyncio.get_running_loop().time()
    for _ in range(1000):
        output.write(line)
        output.write("\n")
    assert asyncio.get_running_loop().time() - started_at < 1.0
    assert output.dropped > 500
    text = b""
    while b"log.dropped" not in text:
        text += read_all(reader)
        await asyncio.sleep(0.01)
        output.write("after")
    assert all(each in (b"x" * 1000, b"after") for each in lines_of(text))
    os.close(reader)
    os.close(writer)


def lines_of(text: bytes):
    return [
        line
        for line in text.split(b"\n")[:-1]
        if not line.startswith(b'{"event": "log.dropped"')
    ]


async def test_the_rate_is_bounded():
    reader, writer = os.pipe()
    output = logoutput.LogOutput(writer)
    for number in range(4000):
        output.write(str(number))
    written = list(lines_of(read_all(reader)))
    assert len(written) <= logoutput.BURST_LINES + 100
    os.close(reader)
    os.close(writer)


async def test_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    output = logoutput.LogOutput(writer)
    os.close(reader)
    output.write("nobody reads this")
    output.write("nor this")
    os.close(writer)
