"""`python -m cloverrouter`: the command line."""

from cloverrouter.cli.main import main

if __name__ == "__main__":
    main()
