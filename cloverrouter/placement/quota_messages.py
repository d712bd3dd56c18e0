"""What proxies and the allocator of quotas say to each other, as datagrams that may be lost, doubled or
late.

Cost: a report and its answer are 23 and 28 bytes, an ask 41, a credit 49; each further tenant in an ask or
credit adds its name and a few bytes. `sent_at` is on the proxy's steady clock and is read only by the proxy
that sent it.
"""

from __future__ import annotations

import attrs

from cloverrouter.messages import message


@message(350)
class QuotaReport:
    """Proxy to allocator, several in each `contact_for_s`: I am there, and have heard this answer."""

    epoch: int
    incarnation: int  # drawn at the start of the process
    number: int
    heard: int  # number of the newest report that an answer has come to; 0: none in this epoch yet


@message(351)
class QuotaContact:
    """Allocator to proxy, for each report: don't stand by until `contact_for_s` after this has arrived."""

    epoch: int
    incarnation: int
    number: int  # of the report
    contact_for_s: float


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


@message(355)
class QuotaHandover:
    """An allocator that has stopped for good to the next head: what is left of its pools, by tenant."""

    epoch: int  # of the new head
    from_epoch: int
    tokens: dict[str, int]


@attrs.frozen(slots=True)
class Wake:
    """Effect: tokens or an answer came for a tenant; requests that wait may call `admit` again."""

    tenant: str
