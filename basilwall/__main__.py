"""Runs the command line for `python -m basilwall`."""

from basilwall.cli import main

if __name__ == '__main__':
    main()
