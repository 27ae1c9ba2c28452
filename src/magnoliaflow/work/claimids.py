"""Request ids by which callers look up claims."""

from dataclasses import dataclass

from xxhash import xxh64_hexdigest

CLAIM_PREFIX = "claim."


@dataclass(frozen=True, slots=True)
class ClaimId:
    """An account's idempotency key and the digest of the request body."""

    account: str
    key: str
    digest: str

    @property
    def full_key(self) -> str:
        """Return the key as stored in records."""
        return f"{self.account}/{self.key}"

    @property
    def request_id(self) -> str:
        """Return the request id by which callers look up the claim."""
        return f"{CLAIM_PREFIX}{self.digest}.{self.key}"


def body_digest(body: bytes) -> str:
    """Return the digest used to compare request bodies with equal keys."""
    return xxh64_hexdigest(body)


def parse_claim_id(account: str, request_id: str) -> ClaimId:
    """Parse a claim's request id."""
    rest = request_id.removeprefix(CLAIM_PREFIX)
    digest, _, key = rest.partition(".")
    return ClaimId(account, key, digest)
