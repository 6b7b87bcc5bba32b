"""Measures how one cost of the program grows with the size of the installation.

Run it while the machine is otherwise idle. The parts with hollow schedulers (sharing, spread), which run the
real replication code in one process on a simulated clock, also compare these with real processes.
"""

from collections.abc import Callable, Sequence

import click

from benchmarks.scale import decision, gang, lists, memory, quotas, recorder, requests, sharing, spread

Sizes = Sequence[int]

PARTS: dict[str, Callable[[Sizes], None]] = {
    "decision": decision.run,
    "lists": lists.run,
    "memory": memory.run,
    "sharing": sharing.run,
    "spread": spread.run,
    "gang": gang.run,
    "quotas": quotas.run,
    "recorder": recorder.run,
    "requests": requests.run,
    # There is no part yet for the voters and observers of the control group ("control").
}


def _sizes(context: click.Context, parameter: click.Parameter, text: str) -> Sizes:
    try:
        sizes = [int(part) for part in text.split(",") if part]
    except ValueError:
        raise click.BadParameter("expected whole numbers separated by commas, such as 10,100") from None
    if any(size < 1 for size in sizes):
        raise click.BadParameter("each size must be at least 1")
    return sizes


@click.command(help=__doc__)
@click.argument("part", type=click.Choice(sorted(PARTS)))
@click.option(
    "--sizes",
    default="",
    callback=_sizes,
    help="Sizes to measure instead of the defaults of the part, such as 10,100,1000.",
)
def main(part: str, sizes: Sizes) -> None:
    PARTS[part](sizes)


if __name__ == "__main__":
    main()
