"""`robinhill run`: one scheduler, as its environment configures it."""

import asyncio
import gc
import sys
from collections.abc import Mapping

from robinhill import config
from robinhill.net import logs
from robinhill.net.actor import ActorDiedError
from robinhill.net.scheduler import Scheduler


async def _serve(settings: config.Config, env: Mapping[str, str]) -> None:
    await Scheduler(settings, env).run()


def serve(env: Mapping[str, str]) -> int:
    """Exit code 0 after a drain, 1 after an actor's death, 2 for a faulty configuration."""
    logs.configure()
    try:
        settings = config.load(env)
        if settings.operator:
            logs.configure(settings.operator.log)
        gc.freeze()
        asyncio.run(_serve(settings, env))
    except config.ConfigError as e:
        print(f"robinhill: {e}", file=sys.stderr)
        return 2
    except ActorDiedError:
        return 1
    return 0
