"""The program; without arguments it runs one scheduler, which the environment configures."""

import sys

from robinhill.commands import main

if __name__ == "__main__":
    sys.exit(main())
