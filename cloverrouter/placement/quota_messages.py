"""What proxies and the allocator of quotas say to each other, as datagrams that may be lost, doubled or
late.

Cost: a report or grant without news is about 45 bytes, a tenant's news adds its name and 2 to 5 bytes;
an ask and its answer are about 40 bytes each. `sent_at` is on the proxy's steady clock and is only ever
read by the proxy that sent it.
"""

from __future__ import annotations

import attrs

from cloverrouter.messages import message, nested

SHARE_UNIT = 1_000_000  # a share of a tenant's whole rate
LEASED_UNIT = SHARE_UNIT // 2  # the sum of a tenant's shares: a new allocator's pool has the rest at once


@nested
class TenantDemand:
    """Tokens a second that the proxy's clients ask for."""

    tenant: str
    tokens_per_s: int


@nested
class TenantShare:
    """The part of a tenant's rate that a proxy stands by with, in 1 / `SHARE_UNIT`."""

    tenant: str
    share: int


@message(350)
class QuotaReport:
    """Proxy to allocator, several in each `contact_for_s`: renews the lease, confirms, tells new demand."""

    epoch: int
    incarnation: int  # drawn at the start of the process
    term: int  # counts the leases of this process: a new one begins at a new head, or after one ran out
    number: int
    sent_at: float
    heard: int  # number of the newest report that an answer has come to; 0: none in this term yet
    applied: int  # serial of the newest grant in force; 0: none of this term yet
    held: tuple[TenantShare, ...]  # the shares that a new allocator is to take over; only while applied is 0
    held_for_s: float  # how long these are still valid
    demands: tuple[TenantDemand, ...]


@message(351)
class QuotaGrant:
    """Allocator to proxy, one for each report: shares changed since the serial that the report confirmed."""

    epoch: int
    incarnation: int
    term: int
    number: int  # of the report
    sent_at: float  # of the report
    valid_for_s: float  # from `sent_at`
    contact_for_s: float  # from when it arrives: the proxy does not stand by for so long
    serial: int
    shares: tuple[TenantShare, ...]


@message(352)
class QuotaForgotten:
    """Allocator to proxy: the lease of this term is not known here; begin a new one."""

    epoch: int
    incarnation: int
    term: int


@message(353)
class QuotaAsk:
    """Proxy to allocator: tokens by tenant that requests wait for, and that could be held in advance."""

    epoch: int
    incarnation: int
    number: int
    sent_at: float
    tokens: dict[str, int]
    spare: dict[str, int]


@message(354)
class QuotaCredit:
    """Allocator to proxy: tokens that may be run until `valid_for_s` after `sent_at`.

    Where there were too few, `dry_for_s` tells how many seconds to wait before the next ask.
    """

    epoch: int
    incarnation: int
    number: int  # of the ask
    sent_at: float  # of the ask
    valid_for_s: float
    tokens: dict[str, int]
    dry_for_s: dict[str, float]


@attrs.frozen(slots=True)
class Send:
    """Effect: send this datagram to the machine at `ip`."""

    ip: str
    message: object


@attrs.frozen(slots=True)
class Wake:
    """Effect: tokens or an answer came for a tenant; requests that wait may call `admit` again."""

    tenant: str
