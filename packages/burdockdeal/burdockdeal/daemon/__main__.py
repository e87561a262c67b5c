"""The start of the daemon's process, as quick as its callers need it."""

import gc


def start() -> None:
    """Import the daemon and run it."""
    # What is imported stays; looking for garbage in it makes a start longer
    # by a fifth. The daemon switches the collector on again once it serves.
    gc.disable()

    from burdockdeal.daemon import main

    main.run()


if __name__ == "__main__":
    start()
