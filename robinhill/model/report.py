"""A comparison as a table, as JSON, and as one HTML file with plots that opens without network."""

import base64
import html
from dataclasses import asdict
from io import BytesIO
from typing import Any

import orjson
from hdrh.histogram import HdrHistogram

from robinhill.model.compare import Comparison
from robinhill.model.statistics import Interval
from robinhill.model.world import Result

LONGEST_MS = 600_000
PERCENTILES = (50.0, 90.0, 99.0)
STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; max-width: 60em; margin: 2em auto; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } td, th { padding: .2em .8em; text-align: right }
td:first-child, th:first-child { text-align: left } tr:nth-child(even) { background: #f4f4f4 }
.verdict { font-size: 1.2em; border-left: 4px solid #36c; padding-left: .8em } img { max-width: 100% }
"""


def histogram(results: list[Result], kind: str) -> HdrHistogram:
    """Latencies of a class's served jobs, in milliseconds to three digits."""
    made = HdrHistogram(1, LONGEST_MS, 3)
    for result in results:
        for latency in result.latencies.get(kind, []):
            made.record_value(max(1, min(LONGEST_MS, round(latency))))
    return made


def kinds(comparison: Comparison) -> list[str]:
    return sorted({k for r in comparison.results_a for k in r.by_kind})


def table(comparison: Comparison) -> str:
    """For the terminal."""
    c = comparison
    lines = [f"{c.description}: {c.a} against {c.b}, {len(c.results_a)} pairs ({c.why})", c.verdict]
    if not c.results_a:
        return "\n".join(lines)
    lines.append(f"{'':22}{c.a:>12}{c.b:>12}   difference, with its interval")
    for name, found in c.differences.items():
        first, second = c.means[name]
        lines.append(f"{name:22}{first:12.4f}{second:12.4f}   {found}")
    for kind, found in c.by_kind.items():
        lines.append(
            f"{'  ' + kind:22}{_mean(c.results_a, kind):12.4f}{_mean(c.results_b, kind):12.4f}   {found}"
        )
    for kind in kinds(c):
        told = []
        for results in (c.results_a, c.results_b):
            made = histogram(results, kind)
            told.append("/".join(f"{made.get_value_at_percentile(p):,}" for p in PERCENTILES))
        lines.append(f"{'  ' + kind + ' ms':22}{told[0]:>18}{told[1]:>18}   latency at 50/90/99%")
    return "\n".join(lines)


def _mean(results: list[Result], kind: str) -> float:
    shares = [r.by_kind[kind][1] / r.by_kind[kind][0] for r in results if r.by_kind.get(kind, (0,))[0]]
    return sum(shares) / len(shares) if shares else 1.0


def as_json(comparison: Comparison) -> bytes:
    """Everything, each run's figures included; latencies as percentiles by class."""
    c = comparison
    document: dict[str, Any] = {
        "description": c.description, "a": c.a, "b": c.b, "verdict": c.verdict, "why": c.why,
        "failed": [asdict(f) for f in c.failed],
        "differences": {k: _interval(i) for k, i in c.differences.items()},
        "by_kind": {k: _interval(i) for k, i in c.by_kind.items()},
        "by_tenant": {k: _interval(i) for k, i in c.by_tenant.items()},
        "means": c.means,
        "latency_ms": {
            side: {k: _percentiles(histogram(results, k)) for k in kinds(c)}
            for side, results in (("a", c.results_a), ("b", c.results_b))
        },
        "runs": [
            {"seed": a.seed, "a": _figures(a), "b": _figures(b)}
            for a, b in zip(c.results_a, c.results_b, strict=True)
        ],
    }  # fmt: skip
    return orjson.dumps(document, option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS)


def _interval(i: Interval) -> dict[str, float]:
    return {"mean": i.mean, "low": i.low, "high": i.high}


def _percentiles(made: HdrHistogram) -> dict[str, int]:
    return {f"{p:g}": int(made.get_value_at_percentile(p)) for p in PERCENTILES}


def _figures(r: Result) -> dict[str, Any]:
    left_out = ("latencies", "by_tenant", "broken", "seed")
    return {k: v for k, v in asdict(r).items() if k not in left_out} | {"share": r.share}


def as_html(comparison: Comparison) -> str:
    """One file: verdict, tables and plots; nothing is fetched."""
    c = comparison
    rows = "".join(
        f"<tr><td>{html.escape(n)}</td><td>{c.means[n][0]:.4f}</td><td>{c.means[n][1]:.4f}</td><td>{i}</td></tr>"
        for n, i in c.differences.items()
    )
    rows += "".join(
        f"<tr><td>&nbsp;&nbsp;{html.escape(k)}</td><td>{_mean(c.results_a, k):.4f}</td>"
        f"<td>{_mean(c.results_b, k):.4f}</td><td>{i}</td></tr>"
        for k, i in c.by_kind.items()
    )
    images = "".join(f'<img alt="{html.escape(t)}" src="data:image/png;base64,{d}">' for t, d in _plots(c))
    title = html.escape(f"{c.description}: {c.a} against {c.b}")
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title><style>{STYLE}</style>'
        f'<h1>{title}</h1><p class="verdict">{html.escape(c.verdict)}</p>'
        f"<p>{len(c.results_a)} pairs of runs; {html.escape(c.why)}. Differences are {html.escape(c.b)} less "
        f"{html.escape(c.a)}, with intervals that hold for the whole comparison at 95%.</p>"
        f"<table><tr><th></th><th>{html.escape(c.a)}</th><th>{html.escape(c.b)}</th><th>difference</th></tr>{rows}"
        f"</table>{images}</html>"
    )


def _plots(c: Comparison) -> list[tuple[str, str]]:
    if not c.results_a:
        return []
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    made = []

    def keep(title: str, figure: Any) -> None:
        data = BytesIO()
        figure.savefig(data, format="png", dpi=110, bbox_inches="tight")
        plt.close(figure)
        made.append((title, base64.b64encode(data.getvalue()).decode()))

    figure, axes = plt.subplots(figsize=(8, 3.2))
    names = ["served worth", "worst 10 s", *c.by_kind]
    intervals = [c.differences[n] for n in names[:2]] + list(c.by_kind.values())
    for y, i in enumerate(intervals):
        axes.plot([i.low, i.high], [y, y], color="#36c", lw=3)
        axes.plot([i.mean], [y], "o", color="#124")
    axes.axvline(0, color="#999", lw=1)
    axes.set_yticks(range(len(names)), names)
    axes.invert_yaxis()
    axes.set_xlabel(f"share served in time, {c.b} less {c.a}")
    keep("differences", figure)

    figure, axes = plt.subplots(figsize=(8, 3.2))
    for results, name, colour in ((c.results_a, c.a, "#888"), (c.results_b, c.b, "#36c")):
        count = min(len(r.windows) for r in results)
        means = [sum(r.windows[i] for r in results) / len(results) for i in range(count)]
        axes.step([10 * i for i in range(count)], means, where="post", color=colour, label=name)
    axes.set_xlabel("arrival, s")
    axes.set_ylabel("worth served in time")
    axes.set_ylim(0, 1.02)
    axes.legend()
    keep("over time", figure)

    chosen = kinds(c)
    figure, rows = plt.subplots(1, len(chosen), figsize=(4 * len(chosen), 3.2), squeeze=False)
    for axes, kind in zip(rows[0], chosen, strict=True):
        for results, name, colour in ((c.results_a, c.a, "#888"), (c.results_b, c.b, "#36c")):
            hist = histogram(results, kind)
            shares = [50, 75, 90, 95, 99, 99.9]
            values = [hist.get_value_at_percentile(p) for p in shares]
            axes.plot(values, [str(p) for p in shares], "o-", color=colour, label=name)
        axes.set_xscale("log")
        axes.set_title(kind)
        axes.set_xlabel("latency, ms")
        axes.set_ylabel("percentile")
        axes.legend()
    figure.tight_layout()
    keep("latencies", figure)
    return made
