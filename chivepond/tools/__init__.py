"""Command-line programs: daemons, stand-ins, load tool and operator CLI."""
