"""Gauges of an instance: values that its metrics show as they are now."""

import asyncio

from cranberryglade.gateway import mesh
from cranberryglade.gateway import origin_sharing
from cranberryglade.gateway import slots
from cranberryglade.gateway import state
from cranberryglade.memory import budget as memory_budget
from cranberryglade.memory import connection_limit
from cranberryglade.memory import holding
from cranberryglade.rollouts import control


def register(
    name: str,
    shared: state.InstanceState,
    instances: mesh.Mesh,
    scheduler: slots.SlotScheduler,
    origins: origin_sharing.OriginSharing,
    memory: memory_budget.MemoryBudget,
    open_limit: connection_limit.ConnectionLimit,
    rollouts: control.RolloutControl,
) -> None:
    """Adds the gauges of an instance to its metrics.

    Args:
        name: name of the instance.
        shared: its state; the metrics get the gauges.
        instances: the other instances.
        scheduler: slots and queue, while this instance allocates.
        origins: origins of streams.
        memory: the bytes that it holds for others.
        open_limit: the connections of its callers.
        rollouts: rollouts, while this instance allocates.
    """
    _register_memory(shared, memory)
    _register_connections(shared, open_limit)
    members = instances.members
    watch = shared.metrics.add_gauge
    watch(
        "configuration_version",
        "Version in force; 0 before the first.",
        lambda: shared.version,
    )
    watch(
        "configuration_age_seconds",
        "Since it was last confirmed to be the newest.",
        shared.confirmation_age,
    )
    watch("endpoints", "Endpoints in use.", lambda: len(shared.endpoints))
    watch(
        "peers_heard",
        "Instances heard lately, this one included.",
        lambda: members.reachable_count(asyncio.get_running_loop().time()),
    )
    watch(
        "allocating",
        "1 if this instance grants the slots.",
        lambda: instances.allocator == name,
    )
    watch("slots_used", "Slots in use.", lambda: scheduler.lease_count)
    watch(
        "stream_origins",
        "Streams whose first software version is kept.",
        lambda: origins.count,
    )
    watch(
        "stream_origins_unsaved",
        "Of these, those that it would store if it were the allocator.",
        lambda: origins.unsaved_count,
    )
    watch(
        "endpoints_limited",
        "Endpoints that name a limit, as far as this instance knows.",
        lambda: shared.endpoint_limits.count,
    )
    watch(
        "prompt_parts_suspected",
        "Prompt parts and digests whose requests run one at a time.",
        lambda: shared.quarantine.evidence.suspected_count,
    )
    watch(
        "quarantines",
        "Quarantines, lifted ones included.",
        lambda: len(shared.quarantine.entries),
    )
    placed = scheduler.placing.counts
    watch(
        "grants_own_domain",
        "Slots granted in the failure domain of the instance that asked.",
        lambda: placed.own,
    )
    watch(
        "grants_other_domain",
        "Slots granted in another failure domain.",
        lambda: placed.other,
    )
    watch(
        "endpoint_slowdowns",
        "How often an endpoint was found to be slower than usual.",
        lambda: placed.slowed,
    )
    watch(
        "grants_spared",
        "How often urgent work was kept from an endpoint that was slowed.",
        lambda: placed.spared,
    )
    watch(
        "grants_prefixed",
        "Slots granted at endpoints that had lately read a prompt part.",
        lambda: placed.prefixed,
    )
    watch(
        "grants_reordered",
        "Slots granted before the first request, to one of the same domain.",
        lambda: placed.reordered,
    )
    watch(
        "rollouts_running",
        "Rollouts that this instance conducts.",
        lambda: rollouts.running_count,
    )
    watch(
        "rollout_answers_bad",
        "Bad answers of the new versions in these.",
        lambda: rollouts.bad_answers,
    )
    watch(
        "rollout_grants_reserved",
        "Grants of the new versions that are reserved in the store.",
        lambda: rollouts.reserved,
    )
    watch(
        "requests_waiting",
        "Requests in the allocator's queue.",
        lambda: scheduler.queue_length,
    )
    watch(
        "returns_promised",
        "Refused requests that the allocator told when to come back.",
        lambda: scheduler.promised_returns,
    )


def _register_memory(
    shared: state.InstanceState, memory: memory_budget.MemoryBudget
) -> None:
    watch = shared.metrics.add_gauge
    watch(
        "memory_budget_bytes",
        "What the instance may hold for others.",
        lambda: memory.limit_bytes,
    )
    for kind in holding.Kind:
        watch(
            f"memory_{kind.value}_bytes",
            f"What the instance holds of kind {kind.value}.",
            lambda kind=kind: memory.held_by(kind),
        )
    watch(
        "memory_waiting",
        "Bodies that are not read further for want of memory.",
        lambda: memory.waiting_count,
    )
    watch(
        "memory_paused",
        "Waits for memory since the start.",
        lambda: memory.paused,
    )
    watch(
        "memory_refused",
        "Requests refused and connections closed for want of memory.",
        lambda: memory.refused,
    )


def _register_connections(
    shared: state.InstanceState, open_limit: connection_limit.ConnectionLimit
) -> None:
    watch = shared.metrics.add_gauge
    watch(
        "caller_connections",
        "Open connections of callers.",
        lambda: open_limit.count,
    )
    watch(
        "caller_connections_limit",
        "Connections of callers that may be open.",
        lambda: open_limit.most,
    )
    watch(
        "caller_connections_closed",
        "Connections closed since the start for want of descriptors.",
        lambda: open_limit.closed,
    )
