"""Checks the fields of a set-up, for all protocols."""

from __future__ import annotations

import re

from pearloom.core.calls import SetUpRequest
from pearloom.core.config import Config

MAX_DESCRIPTION_BYTES = 15 * 1024  # the description and its headers have to fit one SIP message
PATIENCE_FACTOR = 2.0  # times the longest deadline: no caller waits longer
MAX_FIRST_CHOICE = 65535  # -1 stands for none
_NUMBER = re.compile(r"[0-9A-Za-z+*#._-]{1,64}")
_RESERVED_ID = "0" * 16  # stands for no call


class SetUpValidator:
    """Turns the fields that a caller sent into a set-up request, or rejects them.

    Guards against values that no call can have: a server would fail the set-up, or close a connection that
    other calls share."""

    def __init__(self, config: Config) -> None:
        """Read the classes, their deadlines and the tenants of the settings."""
        self._class_indices = {name: number for number, name in enumerate(config.class_names)}
        self._tenants = {name: number for number, name in enumerate(config.tenant_names)}
        self.deadlines_ms = [call_class.deadline_us / 1000.0 for call_class in config.settings.classes]
        self._max_patience_ms = PATIENCE_FACTOR * max(self.deadlines_ms)

    def deadline_ms(self, class_name: str) -> float:
        """Return the time after which callers of this class give up; 0 where there is no such class."""
        class_index = self._class_indices.get(class_name)
        return 0.0 if class_index is None else self.deadlines_ms[class_index]

    def validated_request(
        self,
        call: str,
        class_name: str | None,
        number: str,
        description: bytes,
        patience_ms: float,
        first_choice: int,
        was_cut: bool,
        tenant_name: str | None = "",
    ) -> SetUpRequest | None:
        """Return the request, or None where a field has a value that is not allowed in a set-up.

        `tenant_name`: empty where none was sent, None where it is unreadable. If the settings have tenants,
        a name that they do not contain is rejected: an invented name must not evade every share."""
        class_index = self._class_indices.get(class_name or "")
        if class_name is None or class_index is None or call == _RESERVED_ID:
            return None
        if not _NUMBER.fullmatch(number) or len(description) > MAX_DESCRIPTION_BYTES:
            return None
        if not 0 < patience_ms <= self._max_patience_ms or not -1 <= first_choice <= MAX_FIRST_CHOICE:
            return None
        tenant = self._tenants.get(tenant_name or "", -1)
        if self._tenants and tenant < 0 and tenant_name != "":
            return None
        return SetUpRequest(
            call, class_index, class_name, number, description, patience_ms, first_choice, was_cut, tenant
        )
