"""`robinhill control`: one voter of the control group, as its environment and the operators' file name it."""

from collections.abc import Mapping

from robinhill import config
from robinhill.commands.process import serve_until_end
from robinhill.net.control_group.voter_process import VoterProcess


def vote(env: Mapping[str, str]) -> int:
    """Exit code 0 after SIGTERM, 1 after an actor's death, 2 for a faulty configuration."""

    async def run(settings: config.VoterConfig) -> None:
        await VoterProcess(settings, env).run()

    return serve_until_end(lambda: config.load_voter(env), run)
