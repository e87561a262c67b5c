"""Entry point of the daemon process, kept fast to start."""

import gc

from burdockdeal.daemon import signals


def start() -> None:
    """Import and run the daemon with garbage collection disabled."""
    receiver = signals.SignalReceiver()
    # Imported modules are never freed, and collecting garbage among them makes
    # the start a fifth longer. The daemon enables the collector again once it
    # serves.
    gc.disable()

    from burdockdeal.daemon import main

    main.run(receiver)


if __name__ == "__main__":
    start()
