"""Run an entry process on the users' platform."""

import signal


def main() -> None:
    """Run the program; exit code 2 means invalid settings."""
    # The import below takes a good part of a second. SIGHUP, which announces changed
    # settings, would kill the process meanwhile; it reads them afterwards anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from bramleyturn.gateway.entry_process import run_process

    run_process()


if __name__ == "__main__":
    main()
