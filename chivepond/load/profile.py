"""Where processor time went, by the part of the program."""

import collections
import cProfile
import pathlib
import pstats

_PACKAGES = 'site-packages'
_OWN = 'chivepond'
_TOP = 40
_OWN_TIME = 2


def write(taken: cProfile.Profile, path: pathlib.Path) -> None:
    """Write own time by part, then the functions with the most."""
    with path.open('w') as out:
        stats = pstats.Stats(taken, stream=out)
        seconds_by_part = _seconds_by_part(stats)
        total = sum(seconds_by_part.values())
        for part, seconds in seconds_by_part.most_common(_TOP):
            out.write(f'{seconds / total:7.1%}  {part}\n')
        stats.sort_stats('tottime').print_stats(_TOP)
        stats.sort_stats('cumulative').print_stats(_TOP)


def _seconds_by_part(stats: pstats.Stats) -> collections.Counter[str]:
    seconds: collections.Counter[str] = collections.Counter()
    for place, told in stats.stats.items():
        seconds[part_of(place[0])] += told[_OWN_TIME]
    return seconds


def part_of(file_name: str) -> str:
    """Return the package that a source file belongs to."""
    parts = pathlib.PurePath(file_name).parts
    if _PACKAGES in parts:
        return parts[parts.index(_PACKAGES) + 1]
    if _OWN in parts[:-1]:
        return f'{_OWN}/{parts[-2]}'
    return parts[-2] if len(parts) > 1 else file_name
