"""Writes a CPU profile, summed by package."""

import collections
import cProfile
import pathlib
import pstats

_SITE_PACKAGES = 'site-packages'
_PACKAGE = 'chivepond'
_ROW_LIMIT = 40
_OWN_TIME_INDEX = 2


def write(profiler: cProfile.Profile, path: pathlib.Path) -> None:
    """Write own time by package, then the functions with the most time."""
    with path.open('w') as out:
        stats = pstats.Stats(profiler, stream=out)
        seconds_by_package = _seconds_by_package(stats)
        total = sum(seconds_by_package.values())
        for package, seconds in seconds_by_package.most_common(_ROW_LIMIT):
            out.write(f'{seconds / total:7.1%}  {package}\n')
        stats.sort_stats('tottime').print_stats(_ROW_LIMIT)
        stats.sort_stats('cumulative').print_stats(_ROW_LIMIT)


def _seconds_by_package(stats: pstats.Stats) -> collections.Counter[str]:
    seconds: collections.Counter[str] = collections.Counter()
    for location, timings in stats.stats.items():
        seconds[package_of(location[0])] += timings[_OWN_TIME_INDEX]
    return seconds


def package_of(file_name: str) -> str:
    """Return the package of a source file, or its folder."""
    parts = pathlib.PurePath(file_name).parts
    if _SITE_PACKAGES in parts:
        return parts[parts.index(_SITE_PACKAGES) + 1]
    if _PACKAGE in parts[:-1]:
        return f'{_PACKAGE}/{parts[-2]}'
    return parts[-2] if len(parts) > 1 else file_name
