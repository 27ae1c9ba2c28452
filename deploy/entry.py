"""Run the entry process from a source checkout."""

from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from magnoliaflow.entry.signals import SIGNALS  # noqa: E402

SIGNALS.install()

from magnoliaflow.entry.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
