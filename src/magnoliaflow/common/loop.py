"""The reactor and treq, typed loosely: their stubs are too narrow."""

from typing import Any

import treq as installed_treq
from twisted.internet import reactor as installed_reactor

reactor: Any = installed_reactor
treq: Any = installed_treq
