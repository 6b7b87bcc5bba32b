"""The command: one part each. Run alone on its cores; the hollow parts also check against real processes."""

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
    # "control": the control group's voters and observers, once it has a ladder of its own
}


def _sizes(context: click.Context, parameter: click.Parameter, text: str) -> Sizes:
    try:
        found = [int(part) for part in text.split(",") if part]
    except ValueError:
        raise click.BadParameter("whole numbers with commas are wanted") from None
    if any(size < 1 for size in found):
        raise click.BadParameter("sizes must be 1 or more")
    return found


@click.command(help=__doc__)
@click.argument("part", type=click.Choice(sorted(PARTS)))
@click.option("--sizes", default="", callback=_sizes, help="in place of the part's own, such as 10,100,1000")
def main(part: str, sizes: Sizes) -> None:
    PARTS[part](sizes)


if __name__ == "__main__":
    main()
