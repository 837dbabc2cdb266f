"""Datagrams that instances send each other.

They are small, may be lost, and mean the same when they come twice.
"""

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success


class Held(msgspec.Struct, array_like=True, frozen=True):
    """A request that the sender has at an endpoint."""

    id: str
    endpoint: str


class Spent(msgspec.Struct, array_like=True, frozen=True):
    """What requests of the sender counted against a quota.

    Attributes:
        organisation: whose quota.
        cost: what they counted.
        age_seconds: how long ago, at most a step longer.
    """

    organisation: str
    cost: float
    age_seconds: float


class Report(msgspec.Struct, array_like=True, frozen=True):
    """What the allocator must know of the sender's requests.

    Attributes:
        held: requests that it has at endpoints.
        spent: what it spent in the present window of the quotas that the
            receiver did not grant in its present life.
    """

    held: list[Held]
    spent: list[Spent]


class Standing(msgspec.Struct, array_like=True, frozen=True):
    """What an instance knows, so that others can tell who knows more.

    Attributes:
        configuration: version in force; 0 if none.
        confirmed_ms: age of the last confirmation that it is the newest; -1
            if it never was confirmed.
        endpoints: newest version among the rows of endpoints.
        members: how many instances it knows, itself included.
        age_ms: time since its present life began.
    """

    configuration: int
    confirmed_ms: int
    endpoints: int
    members: int
    age_ms: int


class Ping(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A heartbeat that asks for a Pong.

    Attributes:
        name: the sender.
        incarnation: its present life.
        address: where it reads datagrams and serves its peers.
        domain: its failure domain.
        sequence: is repeated in the answer.
        standing: what it knows.
        report: on its requests; None unless the receiver allocates.
    """

    name: str
    incarnation: str
    address: str
    domain: str
    sequence: int
    standing: Standing
    report: Report | None


class Introduction(msgspec.Struct, array_like=True, frozen=True):
    """An instance that the sender has heard lately."""

    name: str
    address: str
    domain: str


class Pong(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """The answer to a Ping.

    Attributes:
        name: the sender.
        incarnation: its present life.
        sequence: that of the Ping.
        standing: what it knows.
        other: one more instance, so that all learn of newcomers.
    """

    name: str
    incarnation: str
    sequence: int
    standing: Standing
    other: Introduction | None


class Ask(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Asks the allocating instance for a slot; repeated until answered.

    Attributes:
        name: the sender.
        id: names the request among all instances.
        service: what shall run it.
        rank: urgency; 0 is the most urgent.
        kind: what of it may be repeated.
        prompt_tokens: length of the prompt.
        output_tokens: expected length of the answer.
        wait_ms: how long it may wait from now on.
        aim_ms: when its first answer should come, from now on.
        avoid: endpoints that it was sent to already.
        organisation: whose quota it counts against; "" if none.
        cost: what it counts.
    """

    name: str
    id: str
    service: str
    rank: int
    kind: str
    prompt_tokens: int
    output_tokens: int
    wait_ms: int
    aim_ms: int
    avoid: list[str]
    organisation: str
    cost: float


class Queued(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """The request waits; a decision follows."""

    id: str


class Grant(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """The request has a slot."""

    id: str
    endpoint: str


class Deny(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """The request gets no slot."""

    id: str
    reason: str
    retry_after_ms: int
    waiting: int


class Release(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """The request no longer needs its slot, or no longer waits."""

    id: str
    outcome: str


class Leaving(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """The sender is stopping and allocates no more."""

    name: str
    incarnation: str


Datagram = Ping | Pong | Ask | Queued | Grant | Deny | Release | Leaving

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode(message: Datagram) -> bytes:
    """Encodes a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Result[Datagram, str]:
    """Decodes a message.

    >>> decode(encode(Queued("a.1")))
    <Success: Queued(id='a.1')>
    """
    try:
        return Success(_decoder.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
