"""Run the entry process from a source checkout."""

from os.path import abspath
from os.path import dirname
from os.path import join
import sys

sys.path.insert(0, join(dirname(dirname(abspath(__file__))), "src"))

# First of all: a signal ends the process until its handler is installed.
from magnoliaflow.entry.signals import SIGNALS  # noqa: E402

SIGNALS.install()

from magnoliaflow.common.processend import end_process  # noqa: E402
from magnoliaflow.entry.main import main  # noqa: E402

if __name__ == "__main__":
    end_process(main())
