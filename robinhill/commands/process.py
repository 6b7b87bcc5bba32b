"""The common part of the sub-commands that run a server: logging, configuration and exit codes."""

import asyncio
import gc
import sys
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from robinhill import config, logs
from robinhill.commands.exit_codes import FAULTY
from robinhill.config_types import ConfigError
from robinhill.net.actor import ActorDiedError

Settings = TypeVar("Settings", config.Config, config.VoterConfig)


def serve_until_end(
    load: Callable[[], Settings], work: Callable[[Settings], Coroutine[Any, Any, None]]
) -> int:
    """Load the configuration with ``load``, and run ``work`` with it to the end.

    Returns the exit code: 0 once ``work`` has ended, 1 if an actor died, 2 if the configuration is faulty.
    """
    logs.configure()
    try:
        settings = load()
        if settings.operator:
            logs.configure(settings.operator.log)
        gc.freeze()
        asyncio.run(work(settings))
    except ConfigError as e:
        print(f"robinhill: {e}", file=sys.stderr)
        return FAULTY
    except ActorDiedError:
        return 1
    return 0
