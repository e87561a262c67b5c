"""Loading and validation of settings files (JSON5)."""

import pathlib

import json5

from burdockdeal.core import errors
from burdockdeal.core import validation
from burdockdeal.settings import model


def parse(text: str, subject: str) -> model.Settings:
    """Parse and validate settings.

    :param text: the settings as JSON5, which is JSON with comments.
    :param subject: the name of the source in error messages, such as the
        file's path.
    :returns: the validated settings.
    :raises SettingsError: if the settings are invalid; it lists every fault
        and not only the first.
    """
    try:
        raw = json5.loads(text)
    except ValueError as error:
        fault = errors.FieldViolation("", f"invalid JSON5: {error}")
        raise errors.SettingsError(subject, (fault,)) from error
    settings, faults = validation.validate(model.Settings, raw)
    if settings is not None:
        faults = model.find_faults(settings)
    if settings is None or faults:
        raise errors.SettingsError(subject, faults)
    return settings


def load(path: str | pathlib.Path) -> model.Settings:
    """Load and validate a settings file.

    :raises SettingsError: if the file can't be read or its contents are
        invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = errors.FieldViolation("", f"cannot read file: {error}")
        raise errors.SettingsError(str(path), (fault,)) from error
    return parse(text, str(path))
