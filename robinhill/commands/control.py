"""`robinhill control`: one voter of the control group, as its environment and the operators' file name it."""

import asyncio
import gc
import sys
from collections.abc import Mapping

from robinhill import config
from robinhill.net import logs
from robinhill.net.actor import ActorDiedError
from robinhill.net.control.voting import VoterProcess


async def _vote(settings: config.VoterConfig, env: Mapping[str, str]) -> None:
    await VoterProcess(settings, env).run()


def vote(env: Mapping[str, str]) -> int:
    """Exit code 0 after SIGTERM, 1 after an actor's death, 2 for a faulty configuration."""
    logs.configure()
    try:
        settings = config.load_voter(env)
        logs.configure(settings.operator.log)
        gc.freeze()
        asyncio.run(_vote(settings, env))
    except config.ConfigError as e:
        print(f"robinhill: {e}", file=sys.stderr)
        return 2
    except ActorDiedError:
        return 1
    return 0
