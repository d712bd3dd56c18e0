"""Messages between proxies and the quota allocator, sent as datagrams that may be lost, duplicated or late.

Cost: a report and its answer are 23 and 28 bytes, a request for credit 41, a credit 49; each further tenant
in a request or credit adds its name and a few bytes. `sent_at` is on the proxy's monotonic clock and is read
only by the proxy that sent it.
"""

from __future__ import annotations

import attrs

from cloverrouter.messages import message


@message(350)
class QuotaReport:
    """Proxy to allocator, several times in each `contact_for_s`: a heartbeat that acknowledges the newest
    answer received."""

    epoch: int
    incarnation: int  # drawn at random at the start of the process
    number: int
    acknowledged: int  # number of the newest report that was answered; 0: none in this epoch yet


@message(351)
class QuotaContact:
    """Allocator to proxy, in answer to each report: the proxy must not enter standby until `contact_for_s`
    after the arrival of this message."""

    epoch: int
    incarnation: int
    number: int  # of the report
    contact_for_s: float


@message(353)
class QuotaAsk:
    """Proxy to allocator, a request for credit: tokens by tenant for waiting requests, and tokens that could
    be held in advance (`spare`)."""

    epoch: int
    incarnation: int
    number: int
    sent_at: float
    tokens: dict[str, int]
    spare: dict[str, int]


@message(354)
class QuotaCredit:
    """Allocator to proxy: tokens that may be run until `valid_for_s` after `sent_at`.

    If there were too few, `dry_for_s` tells how many seconds to wait before the next request for credit.
    """

    epoch: int
    incarnation: int
    number: int  # of the ask
    sent_at: float  # of the ask
    valid_for_s: float
    tokens: dict[str, int]
    dry_for_s: dict[str, float]


@message(355)
class QuotaHandover:
    """Allocator that has stopped for good to the next head: what is left of its pools, by tenant."""

    epoch: int  # of the new head
    from_epoch: int
    tokens: dict[str, int]


@attrs.frozen(slots=True)
class Wake:
    """Effect: tokens or a refusal arrived for a tenant; waiting requests may call `admit` again."""

    tenant: str
