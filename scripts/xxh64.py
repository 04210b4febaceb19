"""XXH64 and the expected completion text of the engine stand-in.

drivers/standin/token_text.h defines the text: token i is the low 16 bits of
XXH64(prompt, seed i) as " %04x".
"""

import struct

_MASK = 0xFFFFFFFFFFFFFFFF
_PRIME1 = 0x9E3779B185EBCA87
_PRIME2 = 0xC2B2AE3D27D4EB4F
_PRIME3 = 0x165667B19E3779F9
_PRIME4 = 0x85EBCA77C2B2AE63
_PRIME5 = 0x27D4EB2F165667C5


def _rotate_left(value, bits):
    return ((value << bits) | (value >> (64 - bits))) & _MASK


def _round(accumulator, lane):
    accumulator = (accumulator + lane * _PRIME2) & _MASK
    return (((accumulator << 31) | (accumulator >> 33)) &
            _MASK) * _PRIME1 & _MASK


def _initial_state(seed):
    return ((seed + _PRIME1 + _PRIME2) & _MASK, (seed + _PRIME2) & _MASK,
            seed & _MASK, (seed - _PRIME1) & _MASK)


def _hash_stripes(state, data):
    """Adds data to the hash state; its length is a multiple of 32 bytes."""
    a, b, c, d = state
    for w, x, y, z in struct.iter_unpack("<4Q", data):
        a, b, c, d = _round(a, w), _round(b, x), _round(c, y), _round(d, z)
    return a, b, c, d


def _finalise(state, length, tail, seed):
    if length >= 32:
        a, b, c, d = state
        digest = (_rotate_left(a, 1) + _rotate_left(b, 7) +
                  _rotate_left(c, 12) + _rotate_left(d, 18)) & _MASK
        for lane in state:
            digest = ((digest ^ _round(0, lane)) * _PRIME1 + _PRIME4) & _MASK
    else:
        digest = (seed + _PRIME5) & _MASK
    digest = (digest + length) & _MASK
    offset = 0
    while offset + 8 <= len(tail):
        lane = _round(0, int.from_bytes(tail[offset:offset + 8], "little"))
        digest = (_rotate_left(digest ^ lane, 27) * _PRIME1 + _PRIME4) & _MASK
        offset += 8
    if offset + 4 <= len(tail):
        word = int.from_bytes(tail[offset:offset + 4], "little")
        digest = (_rotate_left(digest ^ (word * _PRIME1 & _MASK), 23) *
                  _PRIME2 + _PRIME3) & _MASK
        offset += 4
    for byte in tail[offset:]:
        digest = _rotate_left(digest ^ (byte * _PRIME5 & _MASK),
                              11) * _PRIME1 & _MASK
    digest = (digest ^ (digest >> 33)) * _PRIME2 & _MASK
    digest = (digest ^ (digest >> 29)) * _PRIME3 & _MASK
    return digest ^ (digest >> 32)


class ExpectedText:
    """Computes expected completions of prompts that share one prefix.

    Caches the hash state after the prefix for each token index, because
    hashing a long prompt once per token in Python takes seconds.
    """

    def __init__(self, prefix, tokens):
        stripe_bytes = len(prefix) // 32 * 32
        self._prefix = prefix
        self._prefix_stripe_bytes = stripe_bytes
        self._prefix_states = [_hash_stripes(_initial_state(seed),
                                             prefix[:stripe_bytes])
                               for seed in range(tokens)]

    def text(self, prompt, tokens):
        """Returns the completion of `prompt` (bytes) with `tokens` tokens.

        Raises ValueError if `prompt` does not start with the prefix.
        """
        if not prompt.startswith(self._prefix):
            raise ValueError(
                "the prompt does not start with the expected prefix")
        suffix = prompt[self._prefix_stripe_bytes:]
        suffix_stripe_bytes = len(suffix) // 32 * 32
        words = []
        for seed in range(tokens):
            state = _hash_stripes(self._prefix_states[seed],
                                  suffix[:suffix_stripe_bytes])
            value = _finalise(state, len(prompt), suffix[suffix_stripe_bytes:],
                              seed)
            words.append(" %04x" % (value & 0xFFFF))
        return "".join(words)


def xxh64(data, seed=0):
    """Returns the XXH64 hash of `data` (bytes)."""
    stripe_bytes = len(data) // 32 * 32
    state = _hash_stripes(_initial_state(seed), data[:stripe_bytes])
    return _finalise(state, len(data), data[stripe_bytes:], seed)


# Published test values. A faulty hash would make every completion look wrong.
assert xxh64(b"") == 0xEF46DB3751D8E999
assert xxh64(b"abc") == 0x44BC2CF5AD770999
