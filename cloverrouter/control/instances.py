"""An instance (one start of a server), and how two versions of its record merge.

Merging is commutative, associative and idempotent, so neither the order nor the number of deliveries of a
record matters. The state, the generation and the lost generation only rise; all other fields come from the
record with the highest sequence number.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b

import attrs

from cloverrouter.control.registry_messages import InstanceRecord, ModelOnServer

WARMUP_TOLERANCE_S = 1.0
"""Smaller changes of the remaining warm-up time are not passed on."""


class InstanceState(IntEnum):
    """The state that a server announced. It only rises; a lower one that arrives later is ignored."""

    READY = 0
    DRAINING = 1
    GONE = 2


@attrs.frozen(slots=True)
class Instance:
    """One start of a server.

    `warm_at`: when its warm-up ends, in seconds of the local monotonic clock; 0 if it was warm already.
    `generation`: of two instances at one address, the one with the higher generation is the current one.
    `lost_generation`: the generation that was given up because its heartbeats stopped; a later heartbeat
    starts a new generation.
    """

    id: str
    service: str
    address: str
    zone: str = ""
    version: str = ""
    capacity: int = 0
    state: InstanceState = InstanceState.READY
    warm_at: float = 0.0
    sequence: int = 0
    phase: str = ""
    models: tuple[ModelOnServer, ...] = ()
    generation: int = 1
    lost_generation: int = 0

    @property
    def is_live(self) -> bool:
        """Whether the instance is neither gone nor given up."""
        return self.state is not InstanceState.GONE and self.lost_generation < self.generation

    def facts(self) -> tuple[object, ...]:
        """Returns what the server announced, without its state, its warm-up and its sequence number."""
        models = tuple((model.name, model.version, model.adapters) for model in self.models)
        return (self.service, self.address, self.zone, self.version, self.capacity, self.phase, models)

    def fingerprint(self) -> int:
        """Returns a 63-bit hash, equal on every machine, of all but the sequence number and the warm-up."""
        text = repr((self.id, int(self.state), self.generation, self.lost_generation, self.facts()))
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big") >> 1

    def to_record(self, now: float, age: float) -> InstanceRecord:
        """Returns the record to send at `now`, for an instance last known to be alive `age` seconds ago."""
        return InstanceRecord(
            id=self.id,
            service=self.service,
            address=self.address,
            zone=self.zone,
            version=self.version,
            capacity=self.capacity,
            state=int(self.state),
            warmup_ms=max(0, round((self.warm_at - now) * 1000)),
            sequence=self.sequence,
            phase=self.phase,
            models=self.models,
            generation=self.generation,
            lost_generation=self.lost_generation,
            age_ms=max(0, int(age * 1000)),
        )


def from_record(now: float, record: InstanceRecord) -> Instance:
    """Returns the instance that a record received at `now` describes."""
    return Instance(
        id=record.id,
        service=record.service,
        address=record.address,
        zone=record.zone,
        version=record.version,
        capacity=record.capacity,
        state=InstanceState(min(max(record.state, 0), int(InstanceState.GONE))),
        warm_at=now + record.warmup_ms / 1000 if record.warmup_ms > 0 else 0.0,
        sequence=record.sequence,
        phase=record.phase,
        models=record.models,
        generation=record.generation,
        lost_generation=record.lost_generation,
    )


def merge(one: Instance, other: Instance) -> Instance:
    """Returns the merge of two versions of the same instance."""
    newer = other if _order(other) > _order(one) else one
    warm_at = newer.warm_at
    if _order(one) == _order(other):
        warm_at = min(one.warm_at, other.warm_at)
    return attrs.evolve(
        newer,
        state=max(one.state, other.state),
        generation=max(one.generation, other.generation),
        lost_generation=max(one.lost_generation, other.lost_generation),
        warm_at=warm_at,
    )


def differs(now: float, before: Instance, after: Instance) -> bool:
    """Returns whether other machines have to be told of the difference.

    The sequence number does not count, and the warm-up only if it changed by more than `WARMUP_TOLERANCE_S`.
    """
    if (before.state, before.generation, before.lost_generation) != (
        after.state,
        after.generation,
        after.lost_generation,
    ):
        return True
    longer_by = abs(max(before.warm_at, now) - max(after.warm_at, now))
    return longer_by > WARMUP_TOLERANCE_S or before.facts() != after.facts()


def _order(instance: Instance) -> tuple[int, str]:
    return (instance.sequence, repr(instance.facts()))
