"""Exception hierarchy of magnoliaflow."""


class MagnoliaflowError(Exception):
    """Base class of the errors that the library raises."""


class SettingsError(MagnoliaflowError):
    """A settings file is missing, malformed or invalid."""


class RecordError(MagnoliaflowError):
    """A record on the log or a peer message cannot be decoded."""


class KeyFormatError(MagnoliaflowError):
    """An idempotency key does not contain its creation time."""


class PortError(MagnoliaflowError):
    """A call to the platform or a backend server failed."""


class NotStartedError(PortError):
    """The work is known not to have started."""


class NotSentError(PortError):
    """No connection could be made, so the call was never sent."""


class UnknownOutcomeError(PortError):
    """The call was sent; whether it took effect is not known."""


class StaleFenceError(PortError):
    """An order was rejected because its fencing token is outdated."""


class StartRefusedError(PortError):
    """The cloud refused to start a host."""


class TrimmedError(PortError):
    """The requested offset was trimmed from the log."""

    def __init__(self, first_offset: int) -> None:
        super().__init__(
            f"records before offset {first_offset} were trimmed; "
            f"continue at {first_offset}"
        )
        self.first_offset = first_offset


class RestoredError(PortError):
    """The store went back since the offset of a call was taken."""

    def __init__(self, era: int) -> None:
        super().__init__(
            f"the store is in era {era}; read from the beginning again"
        )
        self.era = era


class FormatError(PortError):
    """A platform document is malformed or lacks a field."""


class CallError(MagnoliaflowError):
    """A caller's request was refused or failed with a result code."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
