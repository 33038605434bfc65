"""Runs the command line; signals to a VM are handled before its imports."""

import importlib
import sys

from basilwall.parts.early_signals import handle_early_signals

#: The commands that the platform runs, and sends signals to.
_VM_COMMANDS = frozenset(('serve', 'entry'))


def main() -> None:
    """Run the command line."""
    if _VM_COMMANDS.intersection(sys.argv[1:2]):
        handle_early_signals()
    importlib.import_module('basilwall.cli').main()


if __name__ == '__main__':
    main()
