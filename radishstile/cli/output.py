"""Formats the results of commands as text."""

import json


def render(command: str, result: object, as_json: bool) -> str:
    """Return the text to print for a command's result."""
    renderer = _RENDERERS.get(command)
    if as_json or renderer is None:
        return json.dumps(result, indent=2)
    return "\n".join(renderer(result))


def _render_show(result: dict):
    entry = result["entry"]
    yield f"version {entry['version']}, {_describe_entry(entry)}"
    yield json.dumps(result["document"], indent=2)


def _describe_entry(entry: dict) -> str:
    operator = entry["operator"] or "nobody"
    made_at = entry["made_at"] or "never"
    return f"by {operator} at {made_at} from {entry['from_version']}"


def _render_history(entries: list[dict]):
    for entry in entries:
        patch = json.dumps(entry["patch"])
        yield f"{entry['version']:>6}  {_describe_entry(entry)}  {patch}"


def _render_diff(operations: list[dict]):
    for operation in operations:
        value = json.dumps(operation["value"]) if "value" in operation else ""
        yield f"{operation['op']:8} {operation['path']} {value}".rstrip()


def _render_accepted(result: dict):
    yield f"version {result['version']} is accepted"


def _render_key(result: dict):
    yield f"key {result['key']}"
    yield (
        f"id {result['key_id']}, workspace {result['workspace']},"
        f" version {result['version']}; the key is not shown again"
    )


def _render_lookup(result: dict):
    yield f"use for {result['ttl_s']} s:"
    for host in result["hosts"]:
        place = f"{host['address']}:{host['port']}"
        yield f"  {place:22} {host['host']:16} {host['zone']}"


def _render_send(result: dict):
    yield (
        f"status {result['status']} outcome {result['outcome']}"
        f" reason {result['reason'] or '-'} in {result['elapsed_ms']} ms"
    )
    yield f"trace {result['trace']}"
    yield result["body"]


def _render_status(result: dict):
    yield (
        f"{result['host']}: configuration {result['configuration_version']},"
        f" roster {result['roster_version']}, {result['current']}"
    )
    yield "hosts:"
    for member in result["members"]:
        yield (
            f"  {member['host']:16} {member['zone']:12} {member['state']:10}"
            f" configuration {member['configuration_version'] or 'unknown'}"
        )
    yield "homes:"
    for resource, host in sorted(result["homes"].items()):
        yield f"  {resource:32} {host}"
    yield "free slots:"
    for region, free in sorted(result["headroom"].items()):
        yield f"  {region:32} {free}"
    yield "moves:" if result["moves"] else "moves: none"
    for move in result["moves"]:
        place = f"{move['state']} at share {move['share']:g}"
        reason = f", {move['reason']}" if move["reason"] else ""
        yield f"  {move['name']:32} {place}{reason}"


def _render_trace(spans: list[dict]):
    for span in spans:
        yield (
            f"{span['duration_ms']:>10.3f} ms  {span['host']:16}"
            f" {span['name']:24} {json.dumps(span['attributes'])}"
        )


_RENDERERS = {
    "show": _render_show,
    "history": _render_history,
    "diff": _render_diff,
    "patch": _render_accepted,
    "withdraw-key": _render_accepted,
    "drain-upstream": _render_accepted,
    "drain-region": _render_accepted,
    "move": _render_accepted,
    "publish-blocks": _render_accepted,
    "issue-key": _render_key,
    "lookup": _render_lookup,
    "send": _render_send,
    "status": _render_status,
    "trace": _render_trace,
}
