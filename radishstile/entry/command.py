"""The `radishstile-entry` command."""

from radishstile.entry import serve


class EntryCommand:
    """Runs an entry host on the users' platform, or checks its settings."""

    __slots__ = ()

    def serve(self, settings: str = "") -> None:
        """Serve with the YAML file SETTINGS until SIGTERM.

        The platform names the file in RADISHSTILE_SETTINGS.
        """
        serve.serve(settings)

    def check(self, settings: str = "") -> str:
        """Check the YAML file SETTINGS and print what it would serve."""
        path, file = serve.load_file(settings)
        return f"{path}: {file.host} in {file.zone} serves {file.callers}"


def main() -> None:
    """Run the command line."""
    import fire

    fire.Fire(EntryCommand, name="radishstile-entry")


if __name__ == "__main__":
    main()
