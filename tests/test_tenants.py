"""Guards against calls that reach the decision module without their tenant: shares then have no effect."""

from __future__ import annotations

from pathlib import Path

import pytest

from pearloom import interface as api
from pearloom.binary.isup import Code, Message, Type
from pearloom.core.calls import NullCaller
from tests.player import Player


@pytest.mark.parametrize(("name", "tenant"), [(b"nour-clinics", 0), (b"sahel", 1), (None, -1), (b"", -1)])
def test_the_decision_module_gets_the_tenant_of_a_call(
    name: bytes | None, tenant: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    player = Player(tmp_path)
    exchange = player.softswitch.exchange
    events: list[api.Event] = []

    def handle(now_us: int, event: api.Event) -> list[api.Action]:
        events.append(event)
        return []

    monkeypatch.setattr(exchange.decider._controller, "handle", handle)
    parameters = {int(Code.CLASS): b"open-form", int(Code.PATIENCE_MS): b"3000", int(Code.NUMBER): b"1"}
    if name is not None:
        parameters[Code.TENANT] = name
    try:
        request = player.softswitch.callers.read_offer(Message(Type.SET_UP, "00" * 7 + "b0", parameters))
        assert request is not None
        exchange.handle_set_up(request, NullCaller())
    finally:
        player.close()
    assert isinstance(events[-1], api.CallArrived) and events[-1].tenant == tenant
