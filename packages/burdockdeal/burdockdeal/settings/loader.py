"""Loading of settings: JSON with comments, checked whole."""

import pathlib

import json5

from burdockdeal.core import errors
from burdockdeal.core import validation
from burdockdeal.settings import model


def parse(text: str, subject: str) -> model.Settings:
    """Read settings.

    :param text: JSON with comments.
    :param subject: what to call it in errors.
    :returns: the settings.
    :raises SettingsError: with every fault that was found.
    """
    try:
        raw = json5.loads(text)
    except ValueError as error:
        fault = errors.FieldViolation("", f"not JSON with comments: {error}")
        raise errors.SettingsError(subject, (fault,)) from error
    settings, faults = validation.validate(model.Settings, raw)
    if settings is not None:
        faults = model.find_faults(settings)
    if settings is None or faults:
        raise errors.SettingsError(subject, faults)
    return settings


def load(path: str | pathlib.Path) -> model.Settings:
    """Load a settings file.

    :raises SettingsError: if it can't be read or is wrong.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = errors.FieldViolation("", f"can't be read: {error}")
        raise errors.SettingsError(str(path), (fault,)) from error
    return parse(text, str(path))
