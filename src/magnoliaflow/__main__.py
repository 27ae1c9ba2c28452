"""Entry point of ``python -m magnoliaflow``."""

import sys

from magnoliaflow.cli import main

sys.exit(main())
