"""The program; without words it runs one scheduler, as the environment configures it."""

import sys

from robinhill.commands import main

if __name__ == "__main__":
    sys.exit(main())
