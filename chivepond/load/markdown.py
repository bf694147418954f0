"""Renders a report as Markdown."""

from chivepond.load import report, spread

#: With a higher 99th percentile lag, in ms, the generator is saturated.
SATURATED_LAG_MS = 10
_ONE_DECIMAL_FROM = 10
_LEGEND = 'Median (minimum to maximum), × the ratio to the baseline variant.'


def render(experiment_report: report.Report) -> str:
    """Return the report as Markdown, with a table of figures by variant."""
    variants = list(
        dict.fromkeys(trial.variant for trial in experiment_report.trials)
    )
    lines = [
        f'# {experiment_report.experiment}',
        '',
        experiment_report.question,
        '',
        f'Goal: {experiment_report.goal or "none"}',
        '',
        f'Command: `{experiment_report.command}`, started'
        f' {experiment_report.started}; {experiment_report.runs} runs of'
        f' each variant, interleaved. {_LEGEND}',
        '',
        _row(['figure', *variants]),
        _row(['---', *('---' for _ in variants)]),
    ]
    for name, by_variant in experiment_report.spreads.items():
        cells = [_cell(by_variant[variant]) for variant in variants]
        lines.append(_row([name, *cells]))
    lines.extend(['', *warnings(experiment_report)])
    return '\n'.join(lines)


def warnings(experiment_report: report.Report) -> list[str]:
    """Return a warning for each variant whose load generator was saturated."""
    lags = experiment_report.spreads.get('lag_p99_ms', {})
    return [
        f'- The generator lagged in {name}: 99 % of the requests were sent'
        f' within {lag.median:.0f} ms of their due time. The generator was'
        ' saturated, so the figures do not describe the system alone.'
        for name, lag in lags.items()
        if lag.median > SATURATED_LAG_MS
    ]


def _row(cells: list[str]) -> str:
    return f'| {" | ".join(cells)} |'


def _cell(figure_spread: spread.Spread) -> str:
    ratio = (
        '' if figure_spread.ratio is None else f' ×{figure_spread.ratio:.2f}'
    )
    if figure_spread.low == figure_spread.high:
        return f'{_format_number(figure_spread.median)}{ratio}'
    low_to_high = (
        f'{_format_number(figure_spread.low)} to'
        f' {_format_number(figure_spread.high)}'
    )
    return f'{_format_number(figure_spread.median)} ({low_to_high}){ratio}'


def _format_number(figure: float) -> str:
    if isinstance(figure, int) or figure == int(figure):
        return str(int(figure))
    return (
        f'{figure:.3f}' if abs(figure) < _ONE_DECIMAL_FROM else f'{figure:.1f}'
    )
