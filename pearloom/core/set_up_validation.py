"""What every set-up has to be, whatever protocol brought it."""

from __future__ import annotations

import re

from pearloom.core.calls import SetUpRequest
from pearloom.core.config import Config

MOST_DESCRIPTION = 15 * 1024  # bytes: with its headers it has to fit one SIP message
PATIENCE_SLACK = 2.0  # x the longest deadline: no caller waits longer
MOST_CHOICE = 65535  # -1 stands for none
_NUMBER = re.compile(r"[0-9A-Za-z+*#._-]{1,64}")
_NO_CALL = "0" * 16


class SetUpValidator:
    """Turns what a caller said into an offer, or into nothing.

    Guards against figures that no call can have: a server would fail the set-up, or close on it a connection
    that others share."""

    def __init__(self, config: Config) -> None:
        """Know the classes and the longest deadline of the settings."""
        self._kinds = {name: number for number, name in enumerate(config.class_names)}
        self._tenants = {name: number for number, name in enumerate(config.tenant_names)}
        self.deadlines_ms = [kind.deadline_us / 1000.0 for kind in config.settings.classes]
        self._most_patience_ms = PATIENCE_SLACK * max(self.deadlines_ms)

    def deadline_ms(self, class_name: str) -> float:
        """After how long callers of this class give up; 0 where there is no such class."""
        kind = self._kinds.get(class_name)
        return 0.0 if kind is None else self.deadlines_ms[kind]

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
        """The offer, or None where anything lies outside what a set-up may have.

        `tenant_name`: empty where none is told, None where it can't be read. Where the settings have tenants,
        one that they do not name is no tenant's: a made-up name must not get past every share."""
        kind = self._kinds.get(class_name or "")
        if class_name is None or kind is None or call == _NO_CALL:
            return None
        if not _NUMBER.fullmatch(number) or len(description) > MOST_DESCRIPTION:
            return None
        if not 0 < patience_ms <= self._most_patience_ms or not -1 <= first_choice <= MOST_CHOICE:
            return None
        tenant = self._tenants.get(tenant_name or "", -1)
        if self._tenants and tenant < 0 and tenant_name != "":
            return None
        return SetUpRequest(
            call, kind, class_name, number, description, patience_ms, first_choice, was_cut, tenant
        )
