"""Keeps a cluster of separate processes up on loopback until it is interrupted."""

from __future__ import annotations

import tempfile
from pathlib import Path
from signal import SIGINT, SIGTERM, sigwait

from tools.processes import ADMIN_KEY, ProcessCluster


def main() -> None:
    """Start the cluster, say where it listens, and stop it on SIGINT or SIGTERM."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(Path(folder))
        try:
            cluster.start()
            for entry in cluster.entries:
                print(f"{entry} listens on {cluster.url(entry)}")
            print(f"platform's stand-in on {cluster.platform_url}")
            print(f"operator's key: {ADMIN_KEY}", flush=True)
            sigwait([SIGINT, SIGTERM])
        finally:
            cluster.stop()


if __name__ == "__main__":
    main()
