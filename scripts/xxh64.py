"""XXH64 and the expected answer of the engine stand-in.

drivers/standin/token_text.h defines the answer: token i is the low 16 bits of
XXH64(prompt, seed i) as " %04x".
"""

import struct

_M = 0xFFFFFFFFFFFFFFFF
_P1 = 0x9E3779B185EBCA87
_P2 = 0xC2B2AE3D27D4EB4F
_P3 = 0x165667B19E3779F9
_P4 = 0x85EBCA77C2B2AE63
_P5 = 0x27D4EB2F165667C5


def _rotl(x, r):
    return ((x << r) | (x >> (64 - r))) & _M


def _round(acc, lane):
    acc = (acc + lane * _P2) & _M
    return (((acc << 31) | (acc >> 33)) & _M) * _P1 & _M


def _start(seed):
    return ((seed + _P1 + _P2) & _M, (seed + _P2) & _M, seed & _M,
            (seed - _P1) & _M)


def _consume(state, data):
    """Feeds whole stripes of 32 bytes."""
    a, b, c, d = state
    for w, x, y, z in struct.iter_unpack("<4Q", data):
        a, b, c, d = _round(a, w), _round(b, x), _round(c, y), _round(d, z)
    return a, b, c, d


def _finish(state, length, tail, seed):
    if length >= 32:
        a, b, c, d = state
        h = (_rotl(a, 1) + _rotl(b, 7) + _rotl(c, 12) + _rotl(d, 18)) & _M
        for lane in state:
            h = ((h ^ _round(0, lane)) * _P1 + _P4) & _M
    else:
        h = (seed + _P5) & _M
    h = (h + length) & _M
    at = 0
    while at + 8 <= len(tail):
        lane = _round(0, int.from_bytes(tail[at:at + 8], "little"))
        h = (_rotl(h ^ lane, 27) * _P1 + _P4) & _M
        at += 8
    if at + 4 <= len(tail):
        word = int.from_bytes(tail[at:at + 4], "little")
        h = (_rotl(h ^ (word * _P1 & _M), 23) * _P2 + _P3) & _M
        at += 4
    for byte in tail[at:]:
        h = _rotl(h ^ (byte * _P5 & _M), 11) * _P1 & _M
    h = (h ^ (h >> 33)) * _P2 & _M
    h = (h ^ (h >> 29)) * _P3 & _M
    return h ^ (h >> 32)


class ExpectedText:
    """Expected answers to prompts that start with one common prefix.

    The hash state after the prefix is kept per token index, because hashing a
    long prompt once per token in Python takes seconds.
    """

    def __init__(self, prefix, tokens):
        whole = len(prefix) // 32 * 32
        self._prefix = prefix
        self._whole = whole
        self._states = [_consume(_start(seed), prefix[:whole])
                        for seed in range(tokens)]

    def text(self, prompt, tokens):
        """Returns the answer of `tokens` tokens to `prompt` (bytes)."""
        if not prompt.startswith(self._prefix):
            raise ValueError("the prompt has another prefix")
        rest = prompt[self._whole:]
        stripes = len(rest) // 32 * 32
        words = []
        for seed in range(tokens):
            state = _consume(self._states[seed], rest[:stripes])
            value = _finish(state, len(prompt), rest[stripes:], seed)
            words.append(" %04x" % (value & 0xFFFF))
        return "".join(words)


def xxh64(data, seed=0):
    """Returns XXH64 of `data`."""
    whole = len(data) // 32 * 32
    state = _consume(_start(seed), data[:whole])
    return _finish(state, len(data), data[whole:], seed)


# Published test values; a wrong hash would make every answer look wrong.
assert xxh64(b"") == 0xEF46DB3751D8E999
assert xxh64(b"abc") == 0x44BC2CF5AD770999
