"""Command-line flags of one program, kept apart from absl's global flags."""

import pathlib
import sys

import result
from absl import flags

from chivepond.errors import invalid
from chivepond.tools import console, exit_code


class ProgramFlags:
    """The flags and positional arguments of one command line."""

    __slots__ = ('_usage', 'flags', 'positional', 'token')

    def __init__(self, usage: str) -> None:
        """Start with ``--help`` alone; help shows ``usage`` above the flags."""
        self._usage = usage
        self.flags = flags.FlagValues()
        self.flags.set_gnu_getopt(True)
        self.positional: list[str] = []
        self.token = ''
        flags.DEFINE_bool(
            'help',
            default=False,
            help='show this help and exit',
            short_name='h',
            flag_values=self.flags,
        )

    def add_text(self, name: str, default: str | None, meaning: str) -> None:
        """Add a string flag."""
        flags.DEFINE_string(name, default, meaning, flag_values=self.flags)

    def add_number(self, name: str, default: int, meaning: str) -> None:
        """Add an integer flag that accepts zero and above."""
        flags.DEFINE_integer(
            name,
            default,
            meaning,
            lower_bound=0,
            flag_values=self.flags,
        )

    def add_switch(self, name: str, meaning: str) -> None:
        """Add a boolean flag, off by default."""
        flags.DEFINE_bool(
            name,
            default=False,
            help=meaning,
            flag_values=self.flags,
        )

    def parse_or_exit_code(
        self, arguments: list[str]
    ) -> exit_code.ExitCode | None:
        """Parse the command line, and print help or a flag error.

        Returns the exit code when the program must end, otherwise None.
        """
        parsed = self.parse(arguments)
        if parsed.is_err():
            return console.print_error(parsed.unwrap_err())
        if self.flags.help:
            self.show_help()
            return exit_code.ExitCode.OK
        return None

    def parse(
        self,
        arguments: list[str],
    ) -> result.Result[list[str], invalid.Invalid]:
        """Parse ``arguments`` and return the positional ones.

        The first argument is the name of the program. Returns Invalid for an
        unknown flag or an invalid flag argument.
        """
        try:
            self.positional = self.flags(arguments)[1:]
        except flags.Error as error:
            return result.Err(
                invalid.Invalid(
                    message=str(error),
                    remedy=f'see {arguments[0]} --help',
                ),
            )
        return result.Ok(self.positional)

    def read_token(self, name: str) -> result.Result[str, invalid.Invalid]:
        """Read the operators' token from the file named by flag ``name``.

        Returns an empty token when the flag is empty, and Invalid when the
        file can't be read or holds more than printable ASCII.
        """
        path = self.flags[name].value
        if not path:
            return result.Ok('')
        try:
            self.token = pathlib.Path(path).read_text('utf-8').strip()
        except (OSError, ValueError) as error:
            return result.Err(
                invalid.Invalid(
                    message=f'--{name}: could not read {path}: {error}',
                    remedy='name a file that holds only the token',
                ),
            )
        if self.token.isascii() and self.token.isprintable():
            return result.Ok(self.token)
        return result.Err(
            invalid.Invalid(
                message=f'--{name}: {path} is not one line of ASCII text',
                remedy='name a file that holds only the token',
            ),
        )

    def show_help(self) -> None:
        """Write the usage text and all flags to standard output."""
        names = sorted(self.flags)
        sys.stdout.write(f'{self._usage}\nFlags:\n')
        for name in names:
            flag = self.flags[name]
            if len(name) > 1:
                sys.stdout.write(
                    f'  --{name}: {flag.help} (default {flag.default})\n',
                )
