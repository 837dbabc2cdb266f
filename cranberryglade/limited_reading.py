"""Reads the bodies of responses, up to a limit."""

import aiohttp


class BodyTooLongError(aiohttp.ClientPayloadError):
    """A body is longer than its reader accepts."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Returns the body of a response.

    Args:
        response: the response; its connection is closed if the body is too
            long.
        max_bytes: the largest body that is accepted.

    Raises:
        BodyTooLongError: if it is longer.
        aiohttp.ClientError: if the connection is lost.
    """
    body = bytearray()
    async for data in response.content.iter_any():
        if len(body) + len(data) > max_bytes:
            response.close()
            raise BodyTooLongError(f"body of more than {max_bytes} bytes")
        body += data
    return bytes(body)
