"""Command that runs a process of a cell; SIGHUP does not end it while it starts."""

# The module signal loads others first, which takes longer.
import _signal


def main() -> None:
    """Ignore SIGHUP until the process handles it, then load and run the program."""
    # Loading the program takes long enough for a change of its settings to arrive.
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    from fuchsiadale.platform.main import main as run_process

    run_process()


if __name__ == "__main__":
    main()
