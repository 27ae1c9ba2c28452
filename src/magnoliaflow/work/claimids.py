"""Names under which callers ask for claims."""

from dataclasses import dataclass

from xxhash import xxh64_hexdigest

CLAIM_PREFIX = "claim."


@dataclass(frozen=True, slots=True)
class ClaimId:
    """A key of an account, and the digest of the body it was used for."""

    account: str
    key: str
    digest: str

    @property
    def full_key(self) -> str:
        """Return the key as records carry it."""
        return f"{self.account}/{self.key}"

    @property
    def request_id(self) -> str:
        """Return the request id under which callers ask for a claim."""
        return f"{CLAIM_PREFIX}{self.digest}.{self.key}"


def body_digest(body: bytes) -> str:
    """Return the digest by which bodies under one key are compared."""
    return xxh64_hexdigest(body)


def parse_claim_id(account: str, request_id: str) -> ClaimId:
    """Return the name behind a claim's request id."""
    rest = request_id.removeprefix(CLAIM_PREFIX)
    digest, _, key = rest.partition(".")
    return ClaimId(account, key, digest)
