"""Settings of the command line."""

from radishstile.settings import read_settings

_TEXT = {"type": "string", "minLength": 1}
_SCHEMA = {
    "type": "object",
    "properties": {
        "client": {
            "type": "object",
            "properties": {
                "url": _TEXT,
                "callers": _TEXT,
                "operator": _TEXT,
                "token": _TEXT,
            },
            "required": ["url", "callers", "operator", "token"],
            "additionalProperties": False,
        }
    },
    "required": ["client"],
    "additionalProperties": False,
}


class ClientSettings:
    """URLs of a daemon for operators and callers, and the credentials."""

    __slots__ = ("url", "callers", "operator", "token")

    def __init__(self, url: str, callers: str, operator: str, token: str):
        self.url = url
        self.callers = callers
        self.operator = operator
        self.token = token


def read_client_settings(path: str) -> ClientSettings:
    """Return the client's settings; raises `SettingsError`."""
    return ClientSettings(**read_settings(path, _SCHEMA)["client"])
