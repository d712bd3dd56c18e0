"""The internal protocol between the proxies: typed messages, their Avro encoding, and framing."""

from cloverrouter.messages.codec import Decoder, encode, message, message_classes_in, metric_labels, nested
from cloverrouter.messages.errors import FrameTooLarge, MalformedFrame, MessageError

__all__ = [
    "Decoder",
    "FrameTooLarge",
    "MalformedFrame",
    "MessageError",
    "encode",
    "message",
    "message_classes_in",
    "metric_labels",
    "nested",
]
