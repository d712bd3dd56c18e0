"""Registry of all fuzz targets by name."""

from __future__ import annotations

from cloverrouter.fuzz.control_calls import ControlCalls
from cloverrouter.fuzz.event_streams import EventStreams
from cloverrouter.fuzz.http_answers import HttpAnswers
from cloverrouter.fuzz.http_requests import HttpRequests
from cloverrouter.fuzz.node_messages import NodeMessages
from cloverrouter.fuzz.settings_files import SettingsFiles
from cloverrouter.fuzz.store_files import StoreFiles
from cloverrouter.fuzz.target import Target

TARGETS: dict[str, type[Target]] = {
    "answers": HttpAnswers,
    "calls": ControlCalls,
    "events": EventStreams,
    "messages": NodeMessages,
    "requests": HttpRequests,
    "settings": SettingsFiles,
    "store": StoreFiles,
}
