"""Metrics of one process, exposed by prometheus_client."""

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.02,
    0.035,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    1.8,
    3.0,
    5.0,
    10.0,
    30.0,
    60.0,
)


class Metrics:
    """Counters, gauges and histograms in their own registry."""

    __slots__ = (
        "answers",
        "applied_offset",
        "cost",
        "first_token",
        "in_flight",
        "latency",
        "lease_held",
        "log_era",
        "log_restores",
        "log_up",
        "registry",
        "refusals",
        "retries",
        "takeovers",
        "token_gap",
        "tokens",
        "tokens_recomputed",
    )

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self.registry = registry
        self.refusals = Counter(
            "magnoliaflow_refusals",
            "Refused requests by result code.",
            ["code"],
            registry=registry,
        )
        self.retries = Counter(
            "magnoliaflow_retries",
            "Attempts after the first, by reason.",
            ["reason"],
            registry=registry,
        )
        self.answers = Counter(
            "magnoliaflow_answers",
            "Settled requests by profile and result code.",
            ["profile", "code"],
            registry=registry,
        )
        self.takeovers = Counter(
            "magnoliaflow_takeovers",
            "Requests taken over from another process, by reason.",
            ["reason"],
            registry=registry,
        )
        self.tokens = Counter(
            "magnoliaflow_tokens",
            "Tokens released to callers.",
            registry=registry,
        )
        self.tokens_recomputed = Counter(
            "magnoliaflow_tokens_recomputed",
            "Prompt and answer tokens computed again, by reason.",
            ["reason"],
            registry=registry,
        )
        self.cost = Counter(
            "magnoliaflow_cost",
            "Estimated cost of attempts, in the currency of price.",
            ["profile"],
            registry=registry,
        )
        self.first_token = Histogram(
            "magnoliaflow_first_token_seconds",
            "Time from acceptance to the first token.",
            ["profile"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.token_gap = Histogram(
            "magnoliaflow_token_gap_seconds",
            "Time between tokens released to a caller.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.latency = Histogram(
            "magnoliaflow_latency_seconds",
            "Time from acceptance to the whole answer.",
            ["profile"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.in_flight = Gauge(
            "magnoliaflow_in_flight",
            "Requests this process owns.",
            registry=registry,
        )
        self.log_up = Gauge(
            "magnoliaflow_log_up",
            "1 while the platform's log can be reached.",
            registry=registry,
        )
        self.log_era = Gauge(
            "magnoliaflow_log_era",
            "Era of the log, which rises when it loses records.",
            registry=registry,
        )
        self.log_restores = Counter(
            "magnoliaflow_log_restores",
            "Streams read again because the log had lost records.",
            registry=registry,
        )
        self.applied_offset = Gauge(
            "magnoliaflow_applied_offset",
            "Last applied offset by stream.",
            ["stream"],
            registry=registry,
        )
        self.lease_held = Gauge(
            "magnoliaflow_lease_held",
            "1 while this controller holds the lease.",
            registry=registry,
        )
