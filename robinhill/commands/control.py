"""`robinhill control`: run one voter of the control group, configured by environment and operators' file."""

from collections.abc import Mapping

from robinhill import config
from robinhill.commands.process import serve_until_end
from robinhill.net.control_group.voter_process import VoterProcess


def vote(env: Mapping[str, str]) -> int:
    """Run the voter until SIGTERM or SIGINT.

    Returns the exit code: 0, or 1 if an actor died, 2 if the configuration is faulty.
    """

    async def run(settings: config.VoterConfig) -> None:
        await VoterProcess(settings, env).run()

    return serve_until_end(lambda: config.load_voter(env), run)
