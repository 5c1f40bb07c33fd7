"""Tracks changes of the zone or group of each upstream."""

from radishstile.configuration.document import Configuration
from radishstile.daemon.resources import SlotsResource
from radishstile.region.settings import RegionSettings

Endpoint = tuple[str, int]


class UpstreamPlacements:
    """Holds an upstream back for a while after it moved between pools.

    Its previous owner may not have the configuration yet, or may still run
    requests on it; both are over after `grow_delay_s`.
    """

    __slots__ = ("_settings", "_resources", "_held_until")

    def __init__(self, settings: RegionSettings):
        self._settings = settings
        self._resources: dict[Endpoint, str] = {}
        self._held_until: dict[Endpoint, float] = {}

    def apply(self, configuration: Configuration, now: float) -> None:
        """Apply the upstreams of a configuration."""
        for upstream in configuration.upstreams.values():
            endpoint = upstream.address, upstream.port
            name = SlotsResource(upstream.group, upstream.zone).name
            if self._resources.setdefault(endpoint, name) == name:
                continue
            self._resources[endpoint] = name
            self._held_until[endpoint] = now + self._settings.grow_delay_s

    def list_held(self, now: float) -> dict[Endpoint, float]:
        """Return the times until which upstreams get no work."""
        return {
            endpoint: until
            for endpoint, until in self._held_until.items()
            if until > now
        }
