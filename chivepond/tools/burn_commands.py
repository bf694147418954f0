"""The burn command: reports SLO burn rates as text, JSON or a plot."""

import importlib
import pathlib
from typing import Any

import result

from chivepond.errors import invalid, problem
from chivepond.observe import burn
from chivepond.tools import console, exit_code, node_client, program_flags
from chivepond.wire import burn_line, node_burn

_HOUR_S = 3600
_MINUTE_S = 60
_BAR_HEIGHT = 0.35
_ROW_HEIGHT_INCHES = 0.3
_WIDTH_INCHES = 9

_Lines = list[burn_line.BurnLine]


async def report(program: program_flags.ProgramFlags) -> int:
    """Merge the burn rates of the nodes in ``--operators`` and print them.

    Several nodes are separated by commas. Returns the exit code.
    """
    flags = program.flags
    nodes = []
    for target in flags.operators.split(','):
        response = await node_client.get(
            node_burn.NodeBurn,
            target.strip(),
            '/v1/burn',
            node_client.token_headers(program),
        )
        if response.is_err():
            return console.print_error(response.unwrap_err())
        nodes.append(response.unwrap())
    lines = burn.report(nodes)
    if flags.plot:
        plotted = plot(lines, pathlib.Path(flags.plot))
        if plotted.is_err():
            return console.print_error(plotted.unwrap_err())
    if flags.json:
        console.print_json(lines)
    else:
        show(lines, len(nodes))
    return exit_code.ExitCode.OK


def show(lines: _Lines, nodes: int) -> None:
    """Print the report as text, one line per service and objective."""
    console.print_line(
        f'SLO burn rate over {nodes} node(s); 1 = exactly on budget'
    )
    for line in lines:
        windows = f'{_window_label(line.short_s)}/{_window_label(line.long_s)}'
        console.print_line(
            f'{line.service:<16} {line.objective:<12} {windows:>7}'
            f' {line.short_rate:8.2f} /{line.long_rate:8.2f}'
            f' (fires at {line.threshold:g}) {_verdict(line)}',
        )


def _verdict(line: burn_line.BurnLine) -> str:
    firing = 'FIRING' if line.is_firing else 'ok'
    cause = f', main cause: {line.cause}' if line.cause else ''
    return f'{firing}, {line.requests} requests{cause}'


def plot(
    lines: _Lines,
    path: pathlib.Path,
) -> result.Result[pathlib.Path, problem.Problem]:
    """Draw both windows of each line as a bar chart into ``path``.

    Rates are drawn relative to the firing threshold. Returns Invalid when
    matplotlib is missing or the file can't be written.
    """
    try:
        figures = importlib.import_module('matplotlib.figure')
    except ImportError:
        return result.Err(
            invalid.Invalid(
                message='--plot requires matplotlib, which is not installed',
                remedy="install it: pip install 'chivepond[plots]'",
            ),
        )
    try:
        _draw(figures, lines, path)
    except (OSError, ValueError) as error:
        return result.Err(
            invalid.Invalid(
                message=f'{path} could not be written: {error}',
                remedy='name a .png, .svg or .pdf file in an existing folder',
            ),
        )
    return result.Ok(path)


def _draw(figures: Any, lines: _Lines, path: pathlib.Path) -> None:
    height = max(2, _ROW_HEIGHT_INCHES * len(lines))
    figure = figures.Figure((_WIDTH_INCHES, height), layout='constrained')
    axes = figure.subplots()
    positions = range(len(lines))
    axes.barh(
        [position - _BAR_HEIGHT / 2 for position in positions],
        [line.long_rate / line.threshold for line in lines],
        _BAR_HEIGHT,
        label='long window',
    )
    axes.barh(
        [position + _BAR_HEIGHT / 2 for position in positions],
        [line.short_rate / line.threshold for line in lines],
        _BAR_HEIGHT,
        label='short window',
    )
    axes.set_yticks(positions, [_line_label(line) for line in lines])
    axes.axvline(1, color='red', label='fires')
    axes.set_xlabel('burn rate relative to the alert threshold')
    axes.legend()
    figure.savefig(path)


def _line_label(line: burn_line.BurnLine) -> str:
    return f'{line.service} {line.objective} {_window_label(line.long_s)}'


def _window_label(seconds: int) -> str:
    if seconds < _HOUR_S:
        return f'{seconds // _MINUTE_S}m'
    hours = seconds // _HOUR_S
    return f'{hours}h' if hours < 24 else f'{hours // 24}d'
