"""The reactor as ``Any``, because its type stubs are too narrow."""

from typing import Any

from twisted.internet import reactor as installed_reactor

reactor: Any = installed_reactor
