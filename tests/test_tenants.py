"""Guards against a softswitch that decides as if no call had a tenant: shares then hold for nobody."""

from __future__ import annotations

from pathlib import Path

import pytest

from pearloom import interface as api
from pearloom.binary.isup import Code, Message, Type
from pearloom.core.calls import NullCaller
from tests.player import Player


@pytest.mark.parametrize(("told", "tenant"), [(b"nour-clinics", 0), (b"sahel", 1), (None, -1), (b"", -1)])
def test_the_decision_module_hears_whose_call_it_is(
    told: bytes | None, tenant: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    player = Player(tmp_path)
    exchange = player.softswitch.exchange
    heard: list[api.Event] = []

    def handle(now_us: int, event: api.Event) -> list[api.Action]:
        heard.append(event)
        return []

    monkeypatch.setattr(exchange.decider._controller, "handle", handle)
    parameters = {int(Code.CLASS): b"open-form", int(Code.PATIENCE_MS): b"3000", int(Code.NUMBER): b"1"}
    if told is not None:
        parameters[Code.TENANT] = told
    try:
        offer = player.softswitch.callers.read_offer(Message(Type.SET_UP, "00" * 7 + "b0", parameters))
        assert offer is not None
        exchange.handle_set_up(offer, NullCaller())
    finally:
        player.close()
    assert isinstance(heard[-1], api.CallArrived) and heard[-1].tenant == tenant
