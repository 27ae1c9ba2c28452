"""Authentication of client accounts and operators by bearer token."""

from hmac import compare_digest

from magnoliaflow.common.settings import Settings

SCHEME = "Bearer "


class Tokens:
    """Tokens read from files.

    They are compared in constant time and never logged.
    """

    __slots__ = ("_accounts", "_operator")

    def __init__(self, cfg: Settings) -> None:
        self._operator = cfg.read_token(cfg.operator_token_file)
        self._accounts = [
            (account.name, cfg.read_token(account.token_file))
            for account in cfg.client_accounts
        ]

    def account(self, header: str | None) -> str:
        """Return the client account that a header authenticates, or ''."""
        presented = _token(header)
        found = ""
        for name, token in self._accounts:
            if compare_digest(presented, token):
                found = name
        return found

    def is_operator(self, header: str | None) -> bool:
        """Return whether a header contains the operator token."""
        return compare_digest(_token(header), self._operator)


def _token(header: str | None) -> bytes:
    if header is None or not header.startswith(SCHEME):
        return b""
    return header[len(SCHEME) :].strip().encode()
