"""Addresses of the form ``IP:PORT``."""

from ipaddress import IPv4Address
import re

PORT_PATTERN = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65535


def is_endpoint(text: str) -> bool:
    """Return whether a text is the address of one peer that can be called.

    >>> is_endpoint("10.1.0.14:8221"), is_endpoint("10.1.0.14:65536")
    (True, False)
    >>> is_endpoint("host:80"), is_endpoint("0.0.0.0:80")
    (False, False)
    """
    host, _, port = text.rpartition(":")
    if not PORT_PATTERN.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return False
    try:
        address = IPv4Address(host)
    except ValueError:
        return False
    return not (address.is_unspecified or address.is_multicast)
