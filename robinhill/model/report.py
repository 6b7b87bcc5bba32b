"""Reports of a comparison: a text table, JSON, and an HTML file with embedded plots."""

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

MAX_LATENCY_MS = 600_000  # longer latencies are recorded as this value
PERCENTILES = (50.0, 90.0, 99.0)
STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; max-width: 60em; margin: 2em auto; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } td, th { padding: .2em .8em; text-align: right }
td:first-child, th:first-child { text-align: left } tr:nth-child(even) { background: #f4f4f4 }
.verdict { font-size: 1.2em; border-left: 4px solid #36c; padding-left: .8em } img { max-width: 100% }
"""


def histogram(results: list[Result], kind: str) -> HdrHistogram:
    """Build the histogram of latencies of a class's served jobs, in ms with three significant digits."""
    recorded = HdrHistogram(1, MAX_LATENCY_MS, 3)
    for result in results:
        for latency_ms in result.latencies.get(kind, []):
            recorded.record_value(max(1, min(MAX_LATENCY_MS, round(latency_ms))))
    return recorded


def kinds(comparison: Comparison) -> list[str]:
    return sorted({k for r in comparison.results_a for k in r.by_kind})


def table(comparison: Comparison) -> str:
    """Format the comparison as a text table for a terminal."""
    c = comparison
    lines = [f"{c.description}: {c.a} against {c.b}, {len(c.results_a)} pairs ({c.why})", c.verdict]
    if not c.results_a:
        return "\n".join(lines)
    lines.append(f"{'':22}{c.a:>12}{c.b:>12}   difference with its confidence interval")
    for name, difference in c.differences.items():
        mean_a, mean_b = c.means[name]
        lines.append(f"{name:22}{mean_a:12.4f}{mean_b:12.4f}   {difference}")
    for kind, difference in c.by_kind.items():
        lines.append(
            f"{'  ' + kind:22}{_share(c.results_a, kind):12.4f}{_share(c.results_b, kind):12.4f}"
            f"   {difference}"
        )
    for kind in kinds(c):
        latencies = []
        for results in (c.results_a, c.results_b):
            recorded = histogram(results, kind)
            latencies.append("/".join(f"{recorded.get_value_at_percentile(p):,}" for p in PERCENTILES))
        lines.append(
            f"{'  ' + kind + ' ms':22}{latencies[0]:>18}{latencies[1]:>18}   latency percentiles 50/90/99"
        )
    return "\n".join(lines)


def _share(results: list[Result], kind: str) -> float:
    shares = [r.by_kind[kind][1] / r.by_kind[kind][0] for r in results if r.by_kind.get(kind, (0,))[0]]
    return sum(shares) / len(shares) if shares else 1.0


def as_json(comparison: Comparison) -> bytes:
    """Encode the whole comparison with the figures of each run. Latencies are given as percentiles."""
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


def _percentiles(recorded: HdrHistogram) -> dict[str, int]:
    return {f"{p:g}": int(recorded.get_value_at_percentile(p)) for p in PERCENTILES}


def _figures(r: Result) -> dict[str, Any]:
    omitted = ("latencies", "by_tenant", "broken", "seed")
    return {k: v for k, v in asdict(r).items() if k not in omitted} | {"share": r.share}


def as_html(comparison: Comparison) -> str:
    """Write the verdict, the table and the plots as one HTML page that loads nothing from the network."""
    c = comparison
    rows = "".join(
        f"<tr><td>{html.escape(n)}</td><td>{c.means[n][0]:.4f}</td><td>{c.means[n][1]:.4f}</td><td>{i}</td></tr>"
        for n, i in c.differences.items()
    )
    rows += "".join(
        f"<tr><td>&nbsp;&nbsp;{html.escape(k)}</td><td>{_share(c.results_a, k):.4f}</td>"
        f"<td>{_share(c.results_b, k):.4f}</td><td>{i}</td></tr>"
        for k, i in c.by_kind.items()
    )
    images = "".join(f'<img alt="{html.escape(t)}" src="data:image/png;base64,{d}">' for t, d in _plots(c))
    title = html.escape(f"{c.description}: {c.a} against {c.b}")
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{title}</title><style>{STYLE}</style>'
        f'<h1>{title}</h1><p class="verdict">{html.escape(c.verdict)}</p>'
        f"<p>{len(c.results_a)} pairs of runs; {html.escape(c.why)}. Differences are {html.escape(c.b)} minus"
        f" {html.escape(c.a)}, with confidence intervals at a level of 95% for the whole comparison.</p>"
        f"<table><tr><th></th><th>{html.escape(c.a)}</th><th>{html.escape(c.b)}</th><th>difference</th></tr>{rows}"
        f"</table>{images}</html>"
    )


def _plots(c: Comparison) -> list[tuple[str, str]]:
    if not c.results_a:
        return []
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    plots = []

    def add_plot(title: str, figure: Any) -> None:
        data = BytesIO()
        figure.savefig(data, format="png", dpi=110, bbox_inches="tight")
        plt.close(figure)
        plots.append((title, base64.b64encode(data.getvalue()).decode()))

    figure, axes = plt.subplots(figsize=(8, 3.2))
    names = ["served worth", "worst 10 s", *c.by_kind]
    intervals = [c.differences[n] for n in names[:2]] + list(c.by_kind.values())
    for y, i in enumerate(intervals):
        axes.plot([i.low, i.high], [y, y], color="#36c", lw=3)
        axes.plot([i.mean], [y], "o", color="#124")
    axes.axvline(0, color="#999", lw=1)
    axes.set_yticks(range(len(names)), names)
    axes.invert_yaxis()
    axes.set_xlabel(f"share of worth served in time, {c.b} minus {c.a}")
    add_plot("differences", figure)

    figure, axes = plt.subplots(figsize=(8, 3.2))
    for results, name, colour in ((c.results_a, c.a, "#888"), (c.results_b, c.b, "#36c")):
        count = min(len(r.windows) for r in results)
        means = [sum(r.windows[i] for r in results) / len(results) for i in range(count)]
        axes.step([10 * i for i in range(count)], means, where="post", color=colour, label=name)
    axes.set_xlabel("time of arrival, s")
    axes.set_ylabel("share of worth served in time")
    axes.set_ylim(0, 1.02)
    axes.legend()
    add_plot("over time", figure)

    classes = kinds(c)
    figure, rows = plt.subplots(1, len(classes), figsize=(4 * len(classes), 3.2), squeeze=False)
    for axes, kind in zip(rows[0], classes, strict=True):
        for results, name, colour in ((c.results_a, c.a, "#888"), (c.results_b, c.b, "#36c")):
            recorded = histogram(results, kind)
            percentiles = [50, 75, 90, 95, 99, 99.9]
            values = [recorded.get_value_at_percentile(p) for p in percentiles]
            axes.plot(values, [str(p) for p in percentiles], "o-", color=colour, label=name)
        axes.set_xscale("log")
        axes.set_title(kind)
        axes.set_xlabel("latency, ms")
        axes.set_ylabel("percentile")
        axes.legend()
    figure.tight_layout()
    add_plot("latencies", figure)
    return plots
