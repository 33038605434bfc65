"""The program of an entry VM on the users' platform.

Signals are handled from the first line on: the modules of the VM, which take
longer to import, come after.
"""

import importlib

from basilwall.parts.allocator import return_freed_buffers
from basilwall.parts.early_signals import handle_early_signals


def main() -> None:
    """Run an entry VM until SIGTERM."""
    handle_early_signals()
    return_freed_buffers()
    importlib.import_module('basilwall.entry_vm').main()


if __name__ == '__main__':
    main()
