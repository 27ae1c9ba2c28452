"""The treq module as ``Any``, because its type stubs are too narrow.

A separate module, so that entry processes do not import treq.
"""

from typing import Any

import treq as installed_treq

treq: Any = installed_treq
