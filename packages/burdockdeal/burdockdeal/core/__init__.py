"""Types shared by every slice: verdicts, errors, calls and codecs."""
