"""Runs a cluster of separate processes on loopback until it is interrupted."""

from __future__ import annotations

import tempfile
from pathlib import Path
from signal import SIGINT, SIGTERM, sigwait

from tools.processes import ADMIN_KEY, ProcessCluster


def main() -> None:
    """Start the cluster, print its URLs and key, and stop it on SIGINT or SIGTERM."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(Path(folder))
        try:
            cluster.start()
            for entry in cluster.entries:
                print(f"{entry} serves clients on {cluster.entry_url(entry)}")
            print(f"the stand-in of the platform listens on {cluster.platform_url}")
            print(f"key for the operators' interface: {ADMIN_KEY}", flush=True)
            sigwait([SIGINT, SIGTERM])
        finally:
            cluster.stop()


if __name__ == "__main__":
    main()
