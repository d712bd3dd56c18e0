"""The structure of an lmdb file, checked before lmdb maps it.

lmdb trusts its pages: a turned byte in one can end the process, drop keys, or lead a write over pages in use.
So the trees of the newest commit are walked: every page in use is inside of the file, of the kind that is
expected, in use once and not free; every node is inside of its page; keys rise; the counts are those told.
What the values hold is the business of their checksums. The form is that of lmdb 0.9 with 64 bits.
"""

from __future__ import annotations

import itertools
import struct
from collections.abc import Iterator
from typing import BinaryIO

import attrs

PAGE_BYTES = 4096

_MAGIC = 0xBEEFC0DE
_VERSION = 1
_NO_PAGE = 2**64 - 1
_META_PAGES = 2
_BRANCH, _LEAF, _OVERFLOW, _META = 0x01, 0x02, 0x04, 0x08
_BIG_DATA = 0x01
_INTEGER_KEYS = 0x08
_KEY_KINDS = 0xFF  # the flags of a tree that say how its keys are ordered
_MAX_KEY_BYTES = 511
_MAX_DEPTH = 32

_PAGE = struct.Struct("<QHHHH")  # number, padding, kind, end of the node offsets, begin of the nodes
_OVERFLOW_HEAD = struct.Struct("<QHHI")  # number, padding, kind, pages
_META_HEAD = struct.Struct("<IIQQ")  # magic, version, address, size of the map
_TREE = struct.Struct("<IHHQQQQQ")  # padding, flags, depth, branch, leaf and overflow pages, entries, root
_META_TAIL = struct.Struct("<QQ")  # last page, commit
_NODE = struct.Struct("<HHHH")  # low and high half of size or page, flags, length of the key
_NUMBER = struct.Struct("<Q")


class PagesDamaged(Exception):
    """The file's pages are not as lmdb writes them."""


@attrs.frozen(slots=True)
class _Tree:
    page_bytes: int
    flags: int
    depth: int
    entries: int
    root: int


@attrs.frozen(slots=True)
class _Commit:
    """What one of the two meta pages says."""

    number: int
    last_page: int
    free: _Tree
    main: _Tree


@attrs.frozen(slots=True)
class _Node:
    key: bytes
    data: bytes  # on a leaf: the value, or the number of its first overflow page
    size: int  # of the whole value
    is_big: bool
    child: int  # on a branch


@attrs.frozen(slots=True)
class _Range:
    """The keys below a page: from `low` on, and below `high`. `step` is the order of a key's bytes."""

    step: int
    low: bytes | None = None
    high: bytes | None = None

    def part(self, low: bytes, high: bytes | None) -> _Range:
        """The range of one child. The first child has an empty key, the last none behind it."""
        return _Range(
            self.step, low[:: self.step] or self.low, self.high if high is None else high[:: self.step]
        )

    def holds(self, key: bytes) -> bool:
        order = key[:: self.step]
        return (self.low is None or self.low <= order) and (self.high is None or order < self.high)


def check_pages(file: BinaryIO) -> None:
    """Raises `PagesDamaged` unless the newest commit is whole."""
    size = file.seek(0, 2)
    commits = [_commit(_read(file, number), number) for number in range(_META_PAGES)]
    newest = max(commits, key=lambda commit: commit.number)
    _require(_follow(commits), "the commits don't follow on one another")
    _require(_META_PAGES - 1 <= newest.last_page < size // PAGE_BYTES, "the file is cut short")
    walk = _Walk(file, newest.last_page)
    for _ in walk.leaves(newest.main):
        pass
    in_use = set(walk.used)
    free: set[int] = set()
    for data in walk.values(newest.free):
        free |= _free_pages(data, newest.last_page)
    _require(not free & (in_use | walk.used), "a page in use is free")


def _follow(commits: list[_Commit]) -> bool:
    """Commits go to the two meta pages by turns; a file that was never written to has none on either."""
    first, second = (commit.number for commit in commits)
    return first == second == 0 or (abs(first - second) == 1 and first % 2 == 0)


def _require(holds: bool, text: str) -> None:
    if not holds:
        raise PagesDamaged(text)


def _read(file: BinaryIO, number: int) -> bytes:
    file.seek(number * PAGE_BYTES)
    page = file.read(PAGE_BYTES)
    _require(len(page) == PAGE_BYTES, "the file is cut short")
    return page


def _commit(page: bytes, number: int) -> _Commit:
    told, _, kind, _, _ = _PAGE.unpack_from(page)
    magic, version, _, _ = _META_HEAD.unpack_from(page, _PAGE.size)
    sound = (told, kind, magic, version) == (number, _META, _MAGIC, _VERSION)
    _require(sound, f"page {number} is no meta page")
    start = _PAGE.size + _META_HEAD.size
    free, main = (_tree(page, start + index * _TREE.size) for index in range(2))
    _require(free.page_bytes == PAGE_BYTES, "pages of another size")
    _require(free.flags & _KEY_KINDS == _INTEGER_KEYS and not main.flags, "trees of another kind")
    last_page, commit = _META_TAIL.unpack_from(page, start + 2 * _TREE.size)
    return _Commit(commit, last_page, free, main)


def _tree(page: bytes, start: int) -> _Tree:
    page_bytes, flags, depth, _, _, _, entries, root = _TREE.unpack_from(page, start)
    return _Tree(page_bytes, flags, depth, entries, root)


class _Walk:
    """A walk over the trees of one commit, which notes the pages in use."""

    def __init__(self, file: BinaryIO, last_page: int) -> None:
        self._file = file
        self._last_page = last_page
        self.used: set[int] = set()

    def leaves(self, tree: _Tree) -> Iterator[_Node]:
        """The nodes of all leaves, in the order of their keys."""
        if tree.root == _NO_PAGE:
            _require(tree.depth == tree.entries == 0, "an empty tree with entries")
            return
        _require(0 < tree.depth <= _MAX_DEPTH, "a tree too deep")
        # Keys that are numbers are stored with the low byte first.
        step = -1 if tree.flags & _INTEGER_KEYS else 1
        count, last = 0, b""
        for node in self._below(tree.root, tree.depth, _Range(step)):
            _require(step > 0 or len(node.key) == _NUMBER.size, "a key of another length")
            order = node.key[::step]
            _require(not count or last < order, "keys out of order")
            count, last = count + 1, order
            yield node
        _require(count == tree.entries, "entries are missing")

    def values(self, tree: _Tree) -> Iterator[bytes]:
        """The values of a tree; those on overflow pages are read from there."""
        for node in self.leaves(tree):
            yield self._overflow(node) if node.is_big else node.data

    def _below(self, number: int, depth: int, keys: _Range) -> Iterator[_Node]:
        """The leaves' nodes below a page, whose keys have to be in that range."""
        nodes = list(_nodes(self._use(number, 1), number, is_leaf=depth == 1))
        if depth > 1:
            for index, node in enumerate(nodes):
                following = nodes[index + 1].key if index + 1 < len(nodes) else None
                yield from self._below(node.child, depth - 1, keys.part(node.key, following))
            return
        for node in nodes:
            _require(keys.holds(node.key), "a key out of its branch")
            if node.is_big:
                self._use_overflow(node)
            yield node

    def _use(self, first: int, pages: int) -> bytes:
        """The first of some pages that follow on one another, which are in use from now on."""
        _require(first >= _META_PAGES and first + pages - 1 <= self._last_page, "a page out of the file")
        wanted = range(first, first + pages)
        _require(self.used.isdisjoint(wanted), "a page in use twice")
        self.used.update(wanted)
        return _read(self._file, first)

    def _use_overflow(self, node: _Node) -> None:
        (first,) = _NUMBER.unpack(node.data)
        pages = (_PAGE.size + node.size + PAGE_BYTES - 1) // PAGE_BYTES
        _require(pages <= self._last_page, "a value larger than the file")
        number, _, kind, told = _OVERFLOW_HEAD.unpack_from(self._use(first, pages))
        _require((number, kind, told) == (first, _OVERFLOW, pages), f"page {first} is no overflow page")

    def _overflow(self, node: _Node) -> bytes:
        (first,) = _NUMBER.unpack(node.data)
        self._file.seek(first * PAGE_BYTES + _PAGE.size)
        return self._file.read(node.size)


def _nodes(page: bytes, number: int, is_leaf: bool) -> Iterator[_Node]:
    told, _, kind, lower, upper = _PAGE.unpack_from(page)
    _require((told, kind) == (number, _LEAF if is_leaf else _BRANCH), f"page {number} of another kind")
    _require(_PAGE.size < lower <= upper <= PAGE_BYTES and lower % 2 == 0, f"page {number} is out of shape")
    offsets = struct.unpack_from(f"<{(lower - _PAGE.size) // 2}H", page, _PAGE.size)
    _require(is_leaf or len(offsets) > 1, f"page {number} has too few nodes")
    taken = []
    for index, offset in enumerate(offsets):
        _require(
            upper <= offset <= PAGE_BYTES - _NODE.size and offset % 2 == 0, f"a node out of page {number}"
        )
        node, end = _node(page, offset, is_leaf)
        # The first node of a branch has no key: it leads to all that is below the second.
        _require(bool(node.key) or (not is_leaf and index == 0), "a node without a key")
        taken.append((offset, end))
        yield node
    taken.sort()
    apart = all(end <= start for (_, end), (start, _) in itertools.pairwise(taken))
    _require(apart, f"nodes of page {number} overlap")


def _node(page: bytes, offset: int, is_leaf: bool) -> tuple[_Node, int]:
    """A node and where it ends."""
    low, high, flags, key_bytes = _NODE.unpack_from(page, offset)
    _require(key_bytes <= _MAX_KEY_BYTES, "a key too long")
    start = offset + _NODE.size
    data = start + key_bytes
    if not is_leaf:
        _require(data <= PAGE_BYTES, "a node out of its page")
        return _Node(page[start:data], b"", 0, False, low | high << 16 | flags << 32), data
    _require(flags in (0, _BIG_DATA), "a value of another kind")
    size = low | high << 16
    end = data + (_NUMBER.size if flags else size)
    _require(end <= PAGE_BYTES, "a node out of its page")
    return _Node(page[start:data], page[data:end], size, bool(flags), 0), end


def _free_pages(data: bytes, last_page: int) -> set[int]:
    """The pages that one commit set free: how many, then their numbers, which fall."""
    _require(len(data) >= _NUMBER.size and len(data) % _NUMBER.size == 0, "a list of free pages out of shape")
    count, *numbers = struct.unpack(f"<{len(data) // _NUMBER.size}Q", data)
    _require(count <= len(numbers), "a list of free pages cut short")
    listed = numbers[:count]
    _require(
        all(one > other for one, other in itertools.pairwise(listed)), "free pages out of order"
    )
    _require(all(_META_PAGES <= one <= last_page for one in listed), "a free page out of the file")
    return set(listed)
