"""A daemon in which a test can raise errors that no code handles."""

from collections import abc
import signal

from burdockdeal.daemon import main
from burdockdeal.daemon import signals
from burdockdeal.membership import service
from burdockdeal.settings import reload

#: The method that raises an error from the signal on.
FAULTS: abc.Mapping[signal.Signals, tuple[type, str]] = {
    signal.SIGUSR1: (service.Membership, "_join"),
    signal.SIGUSR2: (reload.Reloader, "poll"),
}


def _raise_from(signal_number: signal.Signals, owner: type, name: str) -> None:
    """Make a method raise an error once a signal has arrived."""

    def fail(*arguments: object) -> None:
        raise IndexError("raised by the test")

    def handle(number: int, frame: object) -> None:
        setattr(owner, name, fail)

    signal.signal(signal_number, handle)


if __name__ == "__main__":
    for fault_signal, (fault_owner, fault_name) in FAULTS.items():
        _raise_from(fault_signal, fault_owner, fault_name)
    main.run(signals.SignalReceiver())
