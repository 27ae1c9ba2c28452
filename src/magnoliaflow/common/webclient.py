"""The HTTP client library, typed loosely: its stubs are too narrow.

A module of its own, since entry processes do without it.
"""

from typing import Any

import treq as installed_treq

treq: Any = installed_treq
