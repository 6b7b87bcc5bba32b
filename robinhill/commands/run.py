"""`robinhill run`: one scheduler, as its environment configures it."""

from collections.abc import Mapping

from robinhill import config
from robinhill.commands.process import serve_until_end
from robinhill.net.scheduler import Scheduler


def serve(env: Mapping[str, str]) -> int:
    """Exit code 0 after a drain, 1 after an actor's death, 2 for a faulty configuration."""

    async def run(settings: config.Config) -> None:
        await Scheduler(settings, env).run()

    return serve_until_end(lambda: config.load(env), run)
