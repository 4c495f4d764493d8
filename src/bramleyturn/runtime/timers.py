"""Stop calls that are to come."""

from bramleyturn.runtime.twisted_types import DelayedCall


def stop_timer(timer: DelayedCall | None) -> None:
    """Prevent a call that may have been made already, or was never planned."""
    if timer is not None and timer.active():
        timer.cancel()
