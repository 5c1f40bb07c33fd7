"""JSON Merge Patches (RFC 7396): applying them, and making them."""

from typing import Any

import orjson


def merge(target: Any, patch: Any) -> Any:
    """Return a copy of `target` with `patch` merged in."""
    # RFC 7396, section 2; a library would add nothing to these lines.
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
            continue
        merged[key] = merge(merged.get(key), value)
    return merged


def make_merge_patch(old: Any, new: Any) -> dict | None:
    """Return the merge patch from `old` to `new`, two decoded JSON values.

    Returns None if there is none: only objects can be patched, and a merge
    patch can set no member to null.
    """
    if not isinstance(old, dict) or not isinstance(new, dict):
        return None
    patch: dict = {key: None for key in old.keys() - new.keys()}
    for key, value in new.items():
        if key in old and _is_same(old[key], value):
            continue
        change = make_merge_patch(old.get(key), value)
        if change is None:
            if _has_null_member(value):
                return None
            change = value
        patch[key] = change
    return patch


def _is_same(first: Any, second: Any) -> bool:
    """Return whether two values are the same JSON; 1 and 1.0 are not."""
    return orjson.dumps(first) == orjson.dumps(second)


def _has_null_member(value: Any) -> bool:
    """Return whether merging `value` would drop a member or remove it."""
    if isinstance(value, dict):
        return any(map(_has_null_member, value.values()))
    return value is None
