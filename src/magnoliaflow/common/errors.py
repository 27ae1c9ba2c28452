"""Exception tree of magnoliaflow."""


class MagnoliaflowError(Exception):
    """Base of every error the library raises."""


class SettingsError(MagnoliaflowError):
    """A settings file is missing, malformed or fails its schema."""


class RecordError(MagnoliaflowError):
    """A record on the log or a peer message cannot be decoded."""


class KeyFormatError(MagnoliaflowError):
    """An idempotency key does not carry the time it was made."""


class PortError(MagnoliaflowError):
    """A call to the platform or a backend server failed."""


class NotStartedError(PortError):
    """The far end confirmed that it did not start the work."""


class NotSentError(PortError):
    """No connection could be made, so the far end never saw the call."""


class UnknownOutcomeError(PortError):
    """The call was sent; whether it took effect is not known."""


class StaleFenceError(PortError):
    """The far end refused an order that carries an old fencing number."""


class StartRefusedError(PortError):
    """The cloud refused to start a host."""


class TrimmedError(PortError):
    """The log no longer keeps the requested offset."""

    def __init__(self, first_offset: int) -> None:
        super().__init__(
            f"records before offset {first_offset} are gone; "
            f"read on from {first_offset}"
        )
        self.first_offset = first_offset


class FormatError(PortError):
    """A document of the platform cannot be read or lacks a field."""


class CallError(MagnoliaflowError):
    """A caller's request was refused or failed with a result code."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
