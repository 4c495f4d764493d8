"""Run the event loop, which reads what has arrived before it runs timers.

Twisted runs the timers that are due before it polls the sockets. After a delay of the
loop, an answer that is in a socket buffer would count as one that has not come.
"""

import signal
from typing import Any


def read_before_timers(loop: Any) -> None:
    """Poll the sockets once more in each turn of the loop in which a timer is due."""
    run_timers = loop.runUntilCurrent

    def read_and_run_timers() -> None:
        if loop.running and loop.timeout() == 0:
            loop.doIteration(0)
        run_timers()

    loop.runUntilCurrent = read_and_run_timers


def run_loop(loop: Any) -> None:
    """Run the reactor without Twisted's own signal handlers."""
    read_before_timers(loop)
    loop.run(installSignalHandlers=False)
    # While Python ends, a handled signal would kill the process; an ignored one does
    # not.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
