"""Run an entry process on the users' platform."""

import signal


def main() -> None:
    """Run the program. Exit code 2 stands for settings that can't be used."""
    # The rest takes a good part of a second to import. A process that is told meanwhile
    # that its settings changed would end: it reads them after that anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from bramleyturn.gateway.entry_process import run_process

    run_process()


if __name__ == "__main__":
    main()
