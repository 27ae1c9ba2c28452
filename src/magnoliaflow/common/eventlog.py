"""Numbered log events, written as JSON lines."""

from enum import IntEnum
from logging import getLogger
from logging import INFO
from logging import Logger
from logging import StreamHandler
from sys import stderr
from typing import Any

from pythonjsonlogger.json import JsonFormatter


class LogEvent(IntEnum):
    """Log events; numbers are stable."""

    PROCESS_STARTED = 100
    PROCESS_DRAINING = 101
    PROCESS_STOPPED = 102
    SYSTEM_FAILED = 103
    SETTINGS_RELOADED = 104
    PORT_HELD = 105
    PORT_OPENED = 106
    PEER_ALIVE = 200
    PEER_DEAD = 201
    HOST_NOTICED = 202
    LINK_SILENT = 203
    LOG_DOWN = 300
    LOG_UP = 301
    LOG_TRIMMED = 302
    RECORD_UNREADABLE = 303
    STORE_RESTORED = 304
    LOG_READ_AGAIN = 305
    RECORD_WRITTEN_AGAIN = 306
    PROFILE_IN_FORCE = 400
    REQUEST_ACCEPTED = 500
    REQUEST_REFUSED = 501
    REQUEST_FINISHED = 502
    REQUEST_TAKEN_OVER = 503
    ATTEMPT_STARTED = 510
    ATTEMPT_FAILED = 511
    CLAIM_TAKEN_OVER = 520
    CLAIM_DISPATCHED = 521
    LEASE_ACQUIRED = 600
    LEASE_LOST = 601
    HOST_START_ASKED = 610
    HOST_START_REFUSED = 611
    ORDER_SENT = 612
    ORDER_FENCED = 613
    ENGINE_CHANGED = 620
    ENGINES_ORDERED = 621
    USAGE_REPORTED = 622
    DUTY_FAILED = 623
    ENGINE_ENDED = 624
    USAGE_LEFT_OUT = 625
    CLOCK_CORRECTED = 626
    ENGINE_LEAVING = 627
    CALL_PLACED = 630
    CALL_ENDED = 631
    CALL_REJECTED = 632
    CALL_REFUSED = 633
    BODY_DROPPED = 634
    CONNECTION_CLOSED = 639
    HEDGE_SENT = 635
    HEDGE_ENDED = 636
    STREAM_TAKEN_UP = 637
    PART_HELD = 640
    PART_RELEASED = 641
    ENGINE_LIMITED = 642
    ENGINE_UNLIMITED = 643
    REQUEST_HELD = 644
    REQUEST_RELEASED = 645
    SPEEDS_LEARNED = 646
    ENGINES_PLANNED = 647
    ROLLOUT_ORDERED = 650
    ROLLOUT_DECIDED = 651
    ROLLOUT_APPLIED = 652
    ROLLOUT_STATUS_WRITTEN = 653


EXPLANATIONS = {
    LogEvent.PROCESS_STARTED: "A daemon listens and takes work.",
    LogEvent.PROCESS_DRAINING: "A daemon takes no new work and finishes.",
    LogEvent.PROCESS_STOPPED: "A daemon has ended; nothing was in progress.",
    LogEvent.SYSTEM_FAILED: "A fault in the daemon; report it as a defect.",
    LogEvent.SETTINGS_RELOADED: "The settings were read again.",
    LogEvent.PORT_HELD: "A port is taken; it is tried until it is free.",
    LogEvent.PORT_OPENED: "A port that was taken is open now.",
    LogEvent.PEER_ALIVE: "A peer process was heard for the first time.",
    LogEvent.PEER_DEAD: "A peer was silent beyond the limit or replaced.",
    LogEvent.HOST_NOTICED: "A host is to be taken back.",
    LogEvent.LINK_SILENT: "A connection went silent and was abandoned.",
    LogEvent.LOG_DOWN: "The platform's log cannot be reached.",
    LogEvent.LOG_UP: "The platform's log can be reached again.",
    LogEvent.LOG_TRIMMED: "Records were gone before they were read.",
    LogEvent.RECORD_UNREADABLE: "A record on the log was skipped.",
    LogEvent.STORE_RESTORED: "The store lost records that it had confirmed.",
    LogEvent.LOG_READ_AGAIN: "A topic was read again from its beginning.",
    LogEvent.RECORD_WRITTEN_AGAIN: "A record that was lost was written again.",
    LogEvent.PROFILE_IN_FORCE: "A profile change took hold here.",
    LogEvent.REQUEST_ACCEPTED: "A request was accepted.",
    LogEvent.REQUEST_REFUSED: "A request was refused, with its code.",
    LogEvent.REQUEST_FINISHED: "A request ended, with its code.",
    LogEvent.REQUEST_TAKEN_OVER: "This process took a request over.",
    LogEvent.ATTEMPT_STARTED: "An attempt was sent to a model engine.",
    LogEvent.ATTEMPT_FAILED: "An attempt failed; the reason is named.",
    LogEvent.CLAIM_TAKEN_OVER: "This process took a claim over.",
    LogEvent.CLAIM_DISPATCHED: "Non-idempotent work is sent, once.",
    LogEvent.LEASE_ACQUIRED: "This controller holds the lease.",
    LogEvent.LEASE_LOST: "This controller lost the lease.",
    LogEvent.HOST_START_ASKED: "A replacement host was asked for.",
    LogEvent.HOST_START_REFUSED: "The cloud refused to start a host.",
    LogEvent.ORDER_SENT: "An order was sent to a model engine.",
    LogEvent.ORDER_FENCED: "An engine refused an old fencing number.",
    LogEvent.ENGINE_CHANGED: "An engine's registration changed.",
    LogEvent.ENGINES_ORDERED: "A number of engines was ordered for a zone.",
    LogEvent.USAGE_REPORTED: "The usage of a window was reported.",
    LogEvent.DUTY_FAILED: "A call for a duty failed; it is tried again.",
    LogEvent.ENGINE_ENDED: "Answers broke off; the engine has ended.",
    LogEvent.USAGE_LEFT_OUT: "A window is left out: perhaps it was reported.",
    LogEvent.CLOCK_CORRECTED: "Most clocks showed another time than the own.",
    LogEvent.ENGINE_LEAVING: "An answer of an engine said that it leaves.",
    LogEvent.CALL_PLACED: "A request was sent to an engine.",
    LogEvent.CALL_ENDED: "A request got its answer or lost its caller.",
    LogEvent.CALL_REJECTED: "Bytes that are no request were refused.",
    LogEvent.CALL_REFUSED: "A request was not admitted: cap, pace or held.",
    LogEvent.BODY_DROPPED: "A large body was dropped: the limit is reached.",
    LogEvent.CONNECTION_CLOSED: "A connection was closed: too many are open.",
    LogEvent.HEDGE_SENT: "A slow request was sent to a second engine too.",
    LogEvent.HEDGE_ENDED: "One of two engines is left; with the outcome.",
    LogEvent.STREAM_TAKEN_UP: "A caller takes up a stream that broke off.",
    LogEvent.PART_HELD: "A part of prompts is held back: engines ended.",
    LogEvent.PART_RELEASED: "A part of prompts is no longer held back.",
    LogEvent.ENGINE_LIMITED: "An engine named a limit of requests a second.",
    LogEvent.ENGINE_UNLIMITED: "An engine no longer names a limit.",
    LogEvent.REQUEST_HELD: "A request is held back: engines ended.",
    LogEvent.REQUEST_RELEASED: "A request is no longer held back.",
    LogEvent.SPEEDS_LEARNED: "Prefill rates learned of a service's engines.",
    LogEvent.ENGINES_PLANNED: "A plan of engines, and the load that came.",
    LogEvent.ROLLOUT_ORDERED: "An order to move a service was read.",
    LogEvent.ROLLOUT_DECIDED: "A share or an end was decided; with inputs.",
    LogEvent.ROLLOUT_APPLIED: "A decision on a roll-out took hold here.",
    LogEvent.ROLLOUT_STATUS_WRITTEN: "A roll-out's status was written.",
}


def open_logger(process: str, *, stream: Any = stderr) -> Logger:
    """Return the logger of a process, which writes JSON lines."""
    logger = getLogger(f"magnoliaflow.{process}")
    logger.setLevel(INFO)
    logger.propagate = False
    if not logger.handlers:
        handler = StreamHandler(stream)
        handler.setFormatter(
            JsonFormatter(
                "%(asctime)s %(levelname)s %(name)s %(message)s",
                rename_fields={"asctime": "time", "levelname": "level"},
            )
        )
        logger.addHandler(handler)
    return logger


def log_event(logger: Logger, event: LogEvent, **details: Any) -> None:
    """Log an event with its details."""
    logger.info(
        EXPLANATIONS[event],
        extra={"event": int(event), "event_name": event.name, **details},
    )
