"""Every error of a configuration document, with its place in the file."""

from collections.abc import Callable
from collections.abc import Iterator
from itertools import chain
from typing import Any

from magnoliaflow.common.errors import FormatError
from magnoliaflow.platform.document import decode_account
from magnoliaflow.platform.document import decode_document
from magnoliaflow.platform.document import decode_limits
from magnoliaflow.platform.document import decode_route
from magnoliaflow.platform.document import decode_service
from magnoliaflow.platform.document import DOCUMENT_ERRORS
from magnoliaflow.platform.jsonvalues import decode_json
from magnoliaflow.policy.configcheck import Finding
from magnoliaflow.policy.configcheck import show_key
from magnoliaflow.policy.routes import RouteTable

LISTS: dict[str, Callable[[dict[str, Any]], Any]] = {
    "routes": decode_route,
    "services": decode_service,
    "tenants": decode_account,
}


def check_document(data: bytes) -> tuple[RouteTable | None, list[Finding]]:
    """Return a document as the hosts decode it, and the errors in it.

    The table is None if the hosts do not apply the document.  Raises
    FormatError if it is not JSON.
    """
    values = decode_json(data)
    if not isinstance(values, dict):
        raise FormatError("the document is not an object; write {...}")
    findings = [
        *_find_malformed(values),
        *_find_duplicates(values),
    ]
    try:
        table = decode_document(data)
    except FormatError as exc:
        if not any(item.name == "malformed" for item in findings):
            findings.append(Finding("malformed", "document", str(exc)))
        return None, findings
    return table, findings


def _find_malformed(values: dict[str, Any]) -> Iterator[Finding]:
    """Find the entries that the hosts cannot decode."""
    try:
        int(values["version"])
    except DOCUMENT_ERRORS as exc:
        yield Finding("malformed", "version", _describe(exc))
    for name, decode in LISTS.items():
        entries = values.get(name)
        if entries is None and name == "tenants":
            continue
        if not isinstance(entries, list):
            yield Finding("malformed", name, "not a list; write [...]")
            continue
        for index, entry in enumerate(entries):
            try:
                decode(entry)
            except DOCUMENT_ERRORS as exc:
                place = f"{name}[{index}]"
                yield Finding("malformed", place, _describe(exc))
    try:
        decode_limits(values.get("limits") or {})
    except DOCUMENT_ERRORS as exc:
        yield Finding("malformed", "limits", _describe(exc))


def _describe(exc: Exception) -> str:
    if isinstance(exc, KeyError):
        return f"{exc.args[0]}: missing or not allowed; correct it"
    return f"{exc}; correct it"


def _find_duplicates(values: dict[str, Any]) -> Iterator[Finding]:
    """Find names and keys that are given twice; the last one is used."""
    for name in LISTS:
        entries = values.get(name)
        names = [
            entry.get("name")
            for entry in (entries if isinstance(entries, list) else ())
            if isinstance(entry, dict)
        ]
        for index, text in enumerate(names):
            if text in names[:index]:
                yield Finding(
                    "duplicate-name",
                    f"{name}[{index}]",
                    f"{text!r} is used before; names must be unique",
                )
    tenants = values.get("tenants")
    keys = [
        (str(key), index)
        for index, tenant in enumerate(
            tenants if isinstance(tenants, list) else ()
        )
        if isinstance(tenant, dict)
        for key in _texts(tenant.get("apiKeys"))
    ]
    for index, (key, tenant_index) in enumerate(keys):
        if key in set(chain(*(pair[:1] for pair in keys[:index]))):
            yield Finding(
                "duplicate-key",
                f"tenants[{tenant_index}].apiKeys",
                f"{show_key(key)} is used before; its requests count for "
                "the last account that has it",
            )


def _texts(values: Any) -> list[Any]:
    return values if isinstance(values, list) else []
