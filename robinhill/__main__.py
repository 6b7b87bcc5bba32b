"""The program: one scheduler, as the environment configures it."""

import asyncio
import gc
import sys

from robinhill import config
from robinhill.net import keyvalue
from robinhill.net.scheduler import Scheduler


async def serve(settings: config.Config) -> None:
    await Scheduler(settings).run()


def main() -> int:
    """Exit 0 after a drain, 2 for a faulty configuration; an actor's death is an error of its own."""
    keyvalue.configure()
    try:
        settings = config.load()
    except config.ConfigError as e:
        print(f"robinhill: {e}", file=sys.stderr)
        return 2
    gc.freeze()
    asyncio.run(serve(settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
