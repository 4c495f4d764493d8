"""Stop scheduled calls."""

from bramleyturn.runtime.twisted_types import DelayedCall


def stop_timer(timer: DelayedCall | None) -> None:
    """Cancel a scheduled call, unless it is None or has already run."""
    if timer is not None and timer.active():
        timer.cancel()
