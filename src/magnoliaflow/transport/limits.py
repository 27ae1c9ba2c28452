"""Limits of a server for callers."""

# Events of one connection in one turn of the reactor, each about 15 us.
MAX_EVENTS_PER_TURN = 32
# Bytes behind a request in progress at which its connection is not read.
MAX_PIPELINED_BYTES = 16 * 1024
# How often a caller that is not read is looked at, as it may have left.
LEFT_CHECK_S = 0.25
# A body that waits for room for so long is rejected; it may be sent again.
MAX_WAIT_S = 5.0
# A rejected caller that still sends may read its answer for so long.
LINGER_S = 0.5


class ServerLimits:
    """Limits on request sizes in bytes and waiting times in seconds."""

    __slots__ = (
        "head_timeout_s",
        "idle_timeout_s",
        "max_body_bytes",
        "max_head_bytes",
    )

    def __init__(self) -> None:
        self.max_head_bytes = 16384
        self.max_body_bytes = 4 * 1024 * 1024
        self.head_timeout_s = 3.0
        self.idle_timeout_s = 15.0
