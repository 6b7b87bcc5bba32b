"""`robinhill run`: run one scheduler, configured by the environment."""

from collections.abc import Mapping

from robinhill import config
from robinhill.commands.process import serve_until_end
from robinhill.net.scheduler import Scheduler


def serve(env: Mapping[str, str]) -> int:
    """Run the scheduler until it has drained after a signal.

    Returns the exit code: 0, or 1 if an actor died, 2 if the configuration is faulty.
    """

    async def run(settings: config.Config) -> None:
        await Scheduler(settings, env).run()

    return serve_until_end(lambda: config.load(env), run)
