"""The program: one scheduler, as the environment configures it."""

import asyncio
import gc
import sys

from robinhill import config
from robinhill.net import keyvalue
from robinhill.net.actor import ActorDiedError
from robinhill.net.scheduler import Scheduler


async def serve(settings: config.Config) -> None:
    await Scheduler(settings).run()


def main() -> int:
    """Exit 0 after a drain, 1 after an actor's death, 2 for a faulty configuration."""
    keyvalue.configure()
    try:
        settings = config.load()
        gc.freeze()
        asyncio.run(serve(settings))
    except config.ConfigError as e:
        print(f"robinhill: {e}", file=sys.stderr)
        return 2
    except ActorDiedError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
