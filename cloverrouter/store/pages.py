"""Validates the page structure of an lmdb file before lmdb maps it.

lmdb does not validate its pages: a corrupted byte can crash the process, hide keys, or make a write overwrite
pages in use. The validation walks the B+ trees of the newest commit and checks that every page in use lies
within the file, has the expected type, is used once and is not in the free list; that every node lies within
its page; that keys ascend; and that the stored counts are right. The content of values is protected by their
own checksums (`store/replica_store.py`). The format is that of lmdb 0.9 on 64-bit little-endian machines.
"""

from __future__ import annotations

import itertools
import struct
from collections.abc import Iterator
from typing import BinaryIO

import attrs

PAGE_BYTES = 4096

_MAGIC = 0xBEEFC0DE
_DATA_VERSION = 1
_NO_PAGE = 2**64 - 1
_META_PAGES = 2
_BRANCH, _LEAF, _OVERFLOW, _META = 0x01, 0x02, 0x04, 0x08
_BIG_DATA = 0x01
_INTEGER_KEYS = 0x08
_KEY_ORDER_FLAGS = 0xFF  # mask of the tree flags that define the key order
_MAX_KEY_BYTES = 511
_MAX_DEPTH = 32

_PAGE_HEADER = struct.Struct("<QHHHH")  # number, padding, type, end of the node offsets, start of the nodes
_OVERFLOW_HEADER = struct.Struct("<QHHI")  # number, padding, type, number of pages
_META_HEADER = struct.Struct("<IIQQ")  # magic, version, map address, map size
# Page size (set in the record of the free-page tree only), flags, depth, numbers of branch, leaf and overflow
# pages, number of entries, root page.
_TREE_RECORD = struct.Struct("<IHHQQQQQ")
_META_TAIL = struct.Struct("<QQ")  # last page, commit number
_NODE_HEADER = struct.Struct("<HHHH")  # low and high half of value size or child page, flags, key length
_UINT64 = struct.Struct("<Q")


class PagesDamaged(Exception):
    """The file's page structure is invalid."""


@attrs.frozen(slots=True)
class _Tree:
    """The record of a B+ tree in a meta page."""

    page_bytes: int
    flags: int
    depth: int
    entries: int
    root: int


@attrs.frozen(slots=True)
class _Commit:
    """The content of one of the two meta pages."""

    number: int
    last_page: int
    free: _Tree
    main: _Tree


@attrs.frozen(slots=True)
class _Node:
    """An entry of a leaf or branch page."""

    key: bytes
    data: bytes  # in a leaf: the value, or the number of its first overflow page
    size: int  # bytes of the whole value
    is_on_overflow_pages: bool
    child: int  # in a branch: the number of the child page


@attrs.frozen(slots=True)
class _KeyRange:
    """The range of the keys below a page: `low` <= key < `high`; None is unbounded.

    Bounds are sort keys, whose bytes compare in key order. `slice_step` is -1 if a sort key is the reversed
    key, else 1.
    """

    slice_step: int
    low: bytes | None = None
    high: bytes | None = None

    def child_range(self, low: bytes, high: bytes | None) -> _KeyRange:
        """Returns the range of a child from its key `low` and the next child's key `high`.

        The first child has an empty key; `high` is None for the last child.
        """
        return _KeyRange(
            self.slice_step,
            low[:: self.slice_step] or self.low,
            self.high if high is None else high[:: self.slice_step],
        )

    def contains(self, key: bytes) -> bool:
        sort_key = key[:: self.slice_step]
        return (self.low is None or self.low <= sort_key) and (self.high is None or sort_key < self.high)


def check_pages(file: BinaryIO) -> None:
    """Raises `PagesDamaged` if the page structure of the newest commit is invalid."""
    size = file.seek(0, 2)
    commits = [_parse_meta_page(_read_page(file, number), number) for number in range(_META_PAGES)]
    newest = max(commits, key=lambda commit: commit.number)
    _require(_are_consecutive(commits), "the numbers of the two commits are not consecutive")
    _require(_META_PAGES - 1 <= newest.last_page < size // PAGE_BYTES, "the file is truncated")
    walker = _TreeWalker(file, newest.last_page)
    for _ in walker.leaf_nodes(newest.main):
        pass
    in_use = set(walker.used_pages)
    free: set[int] = set()
    for data in walker.values(newest.free):
        free |= _parse_free_pages(data, newest.last_page)
    _require(not free & (in_use | walker.used_pages), "a page in use is in the free list")


def _are_consecutive(commits: list[_Commit]) -> bool:
    """Returns whether the commit numbers match their meta pages.

    lmdb writes even commits to page 0 and odd ones to page 1. Both numbers are 0 in a file without commits.
    """
    first, second = (commit.number for commit in commits)
    return first == second == 0 or (abs(first - second) == 1 and first % 2 == 0)


def _require(condition: bool, reason: str) -> None:
    if not condition:
        raise PagesDamaged(reason)


def _read_page(file: BinaryIO, number: int) -> bytes:
    file.seek(number * PAGE_BYTES)
    page = file.read(PAGE_BYTES)
    _require(len(page) == PAGE_BYTES, "the file is truncated")
    return page


def _parse_meta_page(page: bytes, number: int) -> _Commit:
    stored_number, _, kind, _, _ = _PAGE_HEADER.unpack_from(page)
    magic, version, _, _ = _META_HEADER.unpack_from(page, _PAGE_HEADER.size)
    is_valid = (stored_number, kind, magic, version) == (number, _META, _MAGIC, _DATA_VERSION)
    _require(is_valid, f"page {number} is not a valid meta page")
    start = _PAGE_HEADER.size + _META_HEADER.size
    free, main = (_parse_tree(page, start + index * _TREE_RECORD.size) for index in range(2))
    _require(free.page_bytes == PAGE_BYTES, "unexpected page size")
    _require(free.flags & _KEY_ORDER_FLAGS == _INTEGER_KEYS and not main.flags, "unexpected flags of a tree")
    last_page, commit = _META_TAIL.unpack_from(page, start + 2 * _TREE_RECORD.size)
    return _Commit(commit, last_page, free, main)


def _parse_tree(page: bytes, start: int) -> _Tree:
    page_bytes, flags, depth, _, _, _, entries, root = _TREE_RECORD.unpack_from(page, start)
    return _Tree(page_bytes, flags, depth, entries, root)


class _TreeWalker:
    """Walks the trees of one commit and records the pages in use."""

    def __init__(self, file: BinaryIO, last_page: int) -> None:
        self._file = file
        self._last_page = last_page
        self.used_pages: set[int] = set()

    def leaf_nodes(self, tree: _Tree) -> Iterator[_Node]:
        """Yields the nodes of all leaf pages in key order."""
        if tree.root == _NO_PAGE:
            _require(tree.depth == tree.entries == 0, "an empty tree has entries")
            return
        _require(0 < tree.depth <= _MAX_DEPTH, "invalid depth of a tree")
        # Integer keys are stored in little-endian byte order.
        slice_step = -1 if tree.flags & _INTEGER_KEYS else 1
        count, last_sort_key = 0, b""
        for node in self._leaf_nodes_below(tree.root, tree.depth, _KeyRange(slice_step)):
            _require(slice_step > 0 or len(node.key) == _UINT64.size, "an integer key has the wrong length")
            sort_key = node.key[::slice_step]
            _require(not count or last_sort_key < sort_key, "keys are out of order")
            count, last_sort_key = count + 1, sort_key
            yield node
        _require(count == tree.entries, "the number of entries is wrong")

    def values(self, tree: _Tree) -> Iterator[bytes]:
        """Yields the values of a tree, including those on overflow pages."""
        for node in self.leaf_nodes(tree):
            yield self._read_overflow_value(node) if node.is_on_overflow_pages else node.data

    def _leaf_nodes_below(self, number: int, depth: int, keys: _KeyRange) -> Iterator[_Node]:
        """Yields the leaf nodes below a page and checks that their keys lie in `keys`."""
        nodes = list(_parse_nodes(self._claim_pages(number, 1), number, is_leaf=depth == 1))
        if depth > 1:
            for index, node in enumerate(nodes):
                next_key = nodes[index + 1].key if index + 1 < len(nodes) else None
                yield from self._leaf_nodes_below(node.child, depth - 1, keys.child_range(node.key, next_key))
            return
        for node in nodes:
            _require(keys.contains(node.key), "a key is outside of its branch's range")
            if node.is_on_overflow_pages:
                self._claim_overflow_pages(node)
            yield node

    def _claim_pages(self, first: int, pages: int) -> bytes:
        """Records contiguous pages as in use and returns the content of the first one."""
        _require(
            first >= _META_PAGES and first + pages - 1 <= self._last_page, "a page number is out of range"
        )
        claimed = range(first, first + pages)
        _require(self.used_pages.isdisjoint(claimed), "a page is in use twice")
        self.used_pages.update(claimed)
        return _read_page(self._file, first)

    def _claim_overflow_pages(self, node: _Node) -> None:
        (first,) = _UINT64.unpack(node.data)
        pages = (_PAGE_HEADER.size + node.size + PAGE_BYTES - 1) // PAGE_BYTES
        _require(pages <= self._last_page, "a value is larger than the file")
        number, _, kind, stored_pages = _OVERFLOW_HEADER.unpack_from(self._claim_pages(first, pages))
        _require(
            (number, kind, stored_pages) == (first, _OVERFLOW, pages),
            f"page {first} is not the expected overflow page",
        )

    def _read_overflow_value(self, node: _Node) -> bytes:
        (first,) = _UINT64.unpack(node.data)
        self._file.seek(first * PAGE_BYTES + _PAGE_HEADER.size)
        return self._file.read(node.size)


def _parse_nodes(page: bytes, number: int, is_leaf: bool) -> Iterator[_Node]:
    stored_number, _, kind, lower, upper = _PAGE_HEADER.unpack_from(page)
    _require(
        (stored_number, kind) == (number, _LEAF if is_leaf else _BRANCH),
        f"page {number} has the wrong number or type",
    )
    _require(
        _PAGE_HEADER.size < lower <= upper <= PAGE_BYTES and lower % 2 == 0,
        f"page {number} has invalid node bounds",
    )
    offsets = struct.unpack_from(f"<{(lower - _PAGE_HEADER.size) // 2}H", page, _PAGE_HEADER.size)
    _require(is_leaf or len(offsets) > 1, f"page {number} has too few nodes")
    node_extents = []
    for index, offset in enumerate(offsets):
        _require(
            upper <= offset <= PAGE_BYTES - _NODE_HEADER.size and offset % 2 == 0,
            f"a node is outside of page {number}",
        )
        node, end = _parse_node(page, offset, is_leaf)
        # The first node of a branch has no key: its child holds all keys below the key of the second node.
        _require(bool(node.key) or (not is_leaf and index == 0), "a node has no key")
        node_extents.append((offset, end))
        yield node
    node_extents.sort()
    are_disjoint = all(end <= start for (_, end), (start, _) in itertools.pairwise(node_extents))
    _require(are_disjoint, f"nodes of page {number} overlap")


def _parse_node(page: bytes, offset: int, is_leaf: bool) -> tuple[_Node, int]:
    """Returns the node at `offset` and the offset of its end."""
    low, high, flags, key_bytes = _NODE_HEADER.unpack_from(page, offset)
    _require(key_bytes <= _MAX_KEY_BYTES, "a key is too long")
    start = offset + _NODE_HEADER.size
    data = start + key_bytes
    if not is_leaf:
        _require(data <= PAGE_BYTES, "a node is outside of its page")
        return _Node(page[start:data], b"", 0, False, low | high << 16 | flags << 32), data
    _require(flags in (0, _BIG_DATA), "unexpected flags of a value")
    size = low | high << 16
    end = data + (_UINT64.size if flags else size)
    _require(end <= PAGE_BYTES, "a node is outside of its page")
    return _Node(page[start:data], page[data:end], size, bool(flags), 0), end


def _parse_free_pages(data: bytes, last_page: int) -> set[int]:
    """Returns the pages that one commit freed.

    `data` is their count followed by their numbers in descending order.
    """
    _require(len(data) >= _UINT64.size and len(data) % _UINT64.size == 0, "a free list has an invalid length")
    count, *numbers = struct.unpack(f"<{len(data) // _UINT64.size}Q", data)
    _require(count <= len(numbers), "a free list is truncated")
    free_pages = numbers[:count]
    _require(
        all(page > next_page for page, next_page in itertools.pairwise(free_pages)),
        "a free list is out of order",
    )
    _require(
        all(_META_PAGES <= page <= last_page for page in free_pages), "a free page number is out of range"
    )
    return set(free_pages)
