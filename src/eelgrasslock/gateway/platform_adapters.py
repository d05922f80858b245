"""The components through which a gateway daemon uses its platform."""

from typing import Protocol

from attrs import frozen

from eelgrasslock.conversations.conversation_controller import TrimmableLog
from eelgrasslock.exchanges.interfaces import MessageCodec, RecordDecoder
from eelgrasslock.log.keyed_log import KeyedLog
from eelgrasslock.log.partitioned_log import PartitionedLog


class GatewayLog(KeyedLog, PartitionedLog, TrimmableLog, Protocol):
    """The operations of the platform's log that the gateway uses."""


@frozen(kw_only=True)
class PlatformAdapters:
    """The components that adapt the gateway to its platform.

    Attributes
    ----------
    log : GatewayLog
        The platform's log.
    record_decoder : RecordDecoder
        Decodes the records that the platform and its operators write to the log.
    codec : MessageCodec
        Decodes and encodes HTTP requests and responses.
    """

    log: GatewayLog
    record_decoder: RecordDecoder
    codec: MessageCodec
