"""Writes a report in Markdown."""

from chivepond.load import report, spread

#: A generator later than this, in ms, measures the bench.
LATE_MS = 10
_SMALL = 10
_READING = 'Median (least to most), × the ratio to the variant compared with.'


def of(told: report.Report) -> str:
    """Return the report."""
    variants = list(dict.fromkeys(trial.variant for trial in told.trials))
    lines = [
        f'# {told.experiment}',
        '',
        told.question,
        '',
        f'Goal: {told.goal or "none"}',
        '',
        f'Command: `{told.command}`, begun {told.started}; {told.runs} runs of'
        f' each variant, interleaved. {_READING}',
        '',
        _row(['figure', *variants]),
        _row(['---', *('---' for _ in variants)]),
    ]
    for name, by_variant in told.spreads.items():
        cells = [_cell(by_variant[one]) for one in variants]
        lines.append(_row([name, *cells]))
    lines.extend(['', *warnings(told)])
    return '\n'.join(lines)


def warnings(told: report.Report) -> list[str]:
    """Return where the bench itself was too slow for its figures to hold."""
    lags = told.spreads.get('lag_p99_ms', {})
    return [
        f'- The generator was late in {name}: 99 in 100 requests were sent'
        f' within {seen.median:.0f} ms of when they were due. The bench was'
        ' saturated, and these are not figures of the system alone.'
        for name, seen in lags.items()
        if seen.median > LATE_MS
    ]


def _row(cells: list[str]) -> str:
    return f'| {" | ".join(cells)} |'


def _cell(seen: spread.Spread) -> str:
    ratio = '' if seen.ratio is None else f' ×{seen.ratio:.2f}'
    if seen.low == seen.high:
        return f'{_number(seen.median)}{ratio}'
    span = f'{_number(seen.low)} to {_number(seen.high)}'
    return f'{_number(seen.median)} ({span}){ratio}'


def _number(figure: float) -> str:
    if isinstance(figure, int) or figure == int(figure):
        return str(int(figure))
    return f'{figure:.3f}' if abs(figure) < _SMALL else f'{figure:.1f}'
