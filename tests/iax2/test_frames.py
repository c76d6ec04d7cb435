"""The codec: frames survive encoding and decoding; malformed data is rejected without an exception."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from pearloom.core.errors import Malformed
from pearloom.iax2 import frames
from pearloom.iax2.frames import Element, Elements, FullFrame, MiniFrame

NUMBERS = st.integers(1, 0x7FFF)
OCTETS = st.integers(0, 255)
FULL = st.builds(
    FullFrame,
    source=NUMBERS,
    destination=st.integers(0, 0x7FFF),
    timestamp=st.integers(0, 0xFFFFFFFF),
    oseq=OCTETS,
    iseq=OCTETS,
    type=OCTETS,
    subclass=st.integers(0, 127) | st.integers(7, 63).map(lambda power: 1 << power),
    data=st.binary(max_size=600),
    is_retransmitted=st.booleans(),
)
MINI = st.builds(MiniFrame, source=NUMBERS, timestamp=st.integers(0, 0xFFFF), data=st.binary(max_size=200))


@given(FULL)
def test_full_frames_survive_encoding_and_decoding(frame: FullFrame) -> None:
    assert frames.decode(frames.encode_full(frame)) == [frame]


@given(FULL, OCTETS)
def test_a_retransmission_differs_only_in_the_r_bit_and_iseq(frame: FullFrame, iseq: int) -> None:
    retransmitted = frames.mark_retransmitted(frames.encode_full(frame), iseq)
    expected = FullFrame(frame.source, frame.destination, frame.timestamp, frame.oseq, iseq, frame.type,
                  frame.subclass, frame.data, True)  # fmt: skip
    assert frames.decode(retransmitted) == [expected]


@given(MINI)
def test_mini_frames_survive_encoding_and_decoding(frame: MiniFrame) -> None:
    assert frames.decode(frames.encode_mini(frame)) == [frame]


@given(st.lists(MINI, max_size=5))
def test_meta_frames_survive_encoding_and_decoding(minis: list[MiniFrame]) -> None:
    assert frames.decode(frames.encode_meta(77, minis)) == minis


def test_meta_entries_without_timestamps_have_that_of_the_meta_frame() -> None:
    data = bytes.fromhex("0000" "01" "00" "00012345" "0009" "0003" "616263")
    assert frames.decode(data) == [MiniFrame(9, 0x2345, b"abc")]


def test_a_new_in_the_layout_of_rfc_5456_is_decoded() -> None:
    data = bytes.fromhex("8005 0000 00000007 00 00 06 01" "0b02 0002" "0103 313233".replace(" ", ""))
    (frame,) = frames.decode(data)  # type: ignore[misc]
    assert frame == FullFrame(5, 0, 7, 0, 0, 6, 1, data[12:])
    elements = frames.decode_elements(frame.data)
    assert isinstance(elements, Elements)
    assert elements.number(Element.VERSION, 2) == 2 and elements.text(Element.CALLED_NUMBER) == "123"


@given(st.binary(max_size=80))
def test_random_bytes_are_rejected_or_decoded_without_an_exception(data: bytes) -> None:
    decoded = frames.decode(data)
    if isinstance(decoded, Malformed):
        assert decoded.reason
        return
    for frame in decoded:
        if isinstance(frame, FullFrame):
            elements = frames.decode_elements(frame.data)
            if isinstance(elements, Elements):
                frames.join_description(elements)


@given(st.lists(st.tuples(OCTETS, st.binary(max_size=255)), max_size=6))
def test_known_and_unknown_elements_survive_encoding_and_decoding(pairs: list[tuple[int, bytes]]) -> None:
    decoded = frames.decode_elements(Elements(pairs).encode())
    assert isinstance(decoded, Elements) and list(decoded) == pairs


@given(st.binary(max_size=frames.MAX_DESCRIPTION_BYTES))
def test_descriptions_of_any_length_survive_splitting_and_joining(description: bytes) -> None:
    assert frames.join_description(Elements(frames.split_description(description))) == description


def test_descriptions_with_a_part_missing_repeated_or_out_of_order_are_rejected() -> None:
    parts = frames.split_description(bytes(range(256)) * 4)
    whole = Elements(parts)
    assert isinstance(frames.join_description(whole), bytes)
    for broken_parts in (
        parts[1:],
        parts[:-1],
        [parts[0], *parts],
        [parts[1], parts[0], *parts[2:]],
        [parts[0], parts[2], parts[1], *parts[3:]],
    ):
        assert isinstance(frames.join_description(Elements(broken_parts)), Malformed)
    short = [(code, value[:-1]) for code, value in parts]
    assert isinstance(frames.join_description(Elements(short)), Malformed)


def test_too_short_and_too_long_datagrams_are_rejected() -> None:
    assert isinstance(frames.decode(bytes(frames.MAX_DATAGRAM_BYTES + 1)), Malformed)
    for short in (b"", b"\x80", bytes.fromhex("80010000"), bytes.fromhex("0000010000")):
        assert isinstance(frames.decode(short), Malformed)
    huge = bytes.fromhex("800500000000000700000 6ff".replace(" ", ""))
    assert frames.decode(huge) == Malformed("a subclass of 2**127", fatal=False)
