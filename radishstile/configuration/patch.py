"""Patches of the configuration document."""

from functools import singledispatch

import jsonpatch
import jsonpointer

from radishstile.configuration.merge import merge
from radishstile.errors import ConfigurationError


class MergePatch:
    """A JSON Merge Patch (RFC 7396): an object merged into the document."""

    __slots__ = ("body",)

    def __init__(self, body: dict):
        self.body = body


class JsonPatch:
    """A JSON Patch (RFC 6902): a list of operations."""

    __slots__ = ("body",)

    def __init__(self, body: list):
        self.body = body


def parse_patch(body: object) -> MergePatch | JsonPatch:
    """Return the typed patch for a decoded JSON body.

    Raises `ConfigurationError` if it is neither an object nor a list.
    """
    patch_type = {dict: MergePatch, list: JsonPatch}.get(type(body))
    if patch_type is None:
        raise ConfigurationError(
            "patch: expected an object (merge patch) or a list of operations"
        )
    return patch_type(body)


@singledispatch
def apply_patch(patch, document: dict) -> dict:
    """Return a patched copy of `document`."""
    raise TypeError(f"unknown patch type {type(patch).__name__}")


@apply_patch.register
def _(patch: MergePatch, document: dict) -> dict:
    return merge(document, patch.body)


@apply_patch.register
def _(patch: JsonPatch, document: dict) -> dict:
    try:
        return jsonpatch.apply_patch(document, patch.body)
    except (
        jsonpatch.JsonPatchException,
        jsonpointer.JsonPointerException,
        KeyError,
        TypeError,
    ) as error:
        raise ConfigurationError(f"patch: {error}") from error


def diff_documents(old: dict, new: dict) -> list[dict]:
    """Return the JSON Patch operations from `old` to `new`."""
    return jsonpatch.make_patch(old, new).patch
