"""Changes of the configuration and its keys on several entries, on a virtual clock."""

from __future__ import annotations

import asyncio

from attrs import evolve
from result import Ok

from fuchsiadale.config.documents import SourceFile
from fuchsiadale.decision.errors import ErrorKind
from tests.cluster import CONFIG, TestCluster
from tests.virtual_loop import run_with_virtual_clock

# Seconds within which a change must be in force on every entry.
PROPAGATION_TIMEOUT_S = 18.0
# Seconds within which a withdrawn key must be rejected on every entry.
WITHDRAWAL_TIMEOUT_S = 10.0


def test_entries_cut_off_from_the_store_stop_accepting_a_withdrawn_key() -> None:
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            nodes = cluster.nodes
            key = (await nodes["entry-0"].config.create_key("guild")).unwrap()
            await cluster.wait_until(
                lambda: all(
                    node.config.document.find_team_by_key(key.text) == "guild"
                    for node in nodes.values()
                ),
                PROPAGATION_TIMEOUT_S,
            )
            cluster.network_faults["entry-1"].is_store_unreachable = True
            cluster.network_faults["entry-2"].is_store_unreachable = True
            cluster.isolate("entry-2")
            (await nodes["entry-0"].config.withdraw_key(key.key_id)).unwrap()
            await cluster.wait_until(
                lambda: (
                    nodes["entry-1"].config.document.find_team_by_key(key.text) is None
                ),
                WITHDRAWAL_TIMEOUT_S,
            )
            await cluster.wait_until(
                lambda: not nodes["entry-2"].config.freshness.is_fresh(),
                # Isolated entries learn nothing; their configuration becomes stale.
                WITHDRAWAL_TIMEOUT_S + 1.0,
            )
            assert nodes["entry-1"].config.freshness.is_fresh()

    run_with_virtual_clock(session())


def test_configuration_stays_fresh_while_no_entry_reaches_the_store() -> None:
    async def session() -> None:
        async with TestCluster(nodes=3) as cluster:
            cluster.platform_faults.table_down = True
            await asyncio.sleep(60.0)
            for node in cluster.nodes.values():
                assert node.config.freshness.is_fresh()

    run_with_virtual_clock(session())


def test_loser_of_two_concurrent_changes_gets_a_version_conflict() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            first, second = cluster.nodes.values()
            base = first.config.document.version
            files = [SourceFile("all.yaml", CONFIG)]
            outcomes = await asyncio.gather(
                first.config.replace_from_files(files, base),
                second.config.replace_from_files(files, base),
            )
            winners = [outcome for outcome in outcomes if isinstance(outcome, Ok)]
            losers = [outcome.unwrap_err() for outcome in outcomes if outcome.is_err()]
            assert len(winners) == 1
            assert [refusal.kind for refusal in losers] == [ErrorKind.VERSION_CONFLICT]
            assert f"version {base + 1}" in losers[0].message

    run_with_virtual_clock(session())


def test_change_is_reported_as_done_when_the_answer_of_the_store_is_lost() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            node = cluster.nodes["entry-0"]
            base = node.config.document.version
            changed = None
            for _ in range(20):
                cluster.platform_faults.lost_answers = 1
                outcome = await node.config.replace_from_files(
                    [SourceFile("all.yaml", CONFIG)], None
                )
                changed = outcome.unwrap()
            assert changed is not None
            assert changed.version == base + 20

    run_with_virtual_clock(session())


def test_older_document_from_a_stale_peer_is_not_applied() -> None:
    async def session() -> None:
        async with TestCluster(nodes=1) as cluster:
            config = cluster.nodes["entry-0"].config
            older = config.document
            key = (await config.create_key("guild")).unwrap()
            (await config.withdraw_key(key.key_id)).unwrap()
            config.apply(older)
            config.apply(
                evolve(older, version=older.version + 1, keys={"x": key.record})
            )
            assert config.document.version == older.version + 2
            assert config.document.keys == {}

    run_with_virtual_clock(session())


def test_configuration_never_reverts_through_restarts_and_outages() -> None:
    async def session() -> None:
        async with TestCluster(nodes=2) as cluster:
            seen: dict[str, int] = {}

            def check() -> None:
                for node in cluster.nodes.values():
                    version = node.config.document.version
                    if version:
                        assert version >= seen.get(node.member, 0)
                        seen[node.member] = version

            for number in range(6):
                node = cluster.nodes["entry-0"]
                outcome = await node.config.replace_from_files(
                    [SourceFile("all.yaml", CONFIG)], None
                )
                outcome.unwrap()
                cluster.network_faults["entry-1"].is_store_unreachable = number % 2 == 0
                if number == 3:
                    await cluster.kill("entry-1")
                    cluster.start_node("entry-1")
                for _ in range(20):
                    await asyncio.sleep(0.25)
                    check()
            cluster.network_faults["entry-1"].is_store_unreachable = False
            await asyncio.sleep(PROPAGATION_TIMEOUT_S)
            versions = {n.config.document.version for n in cluster.nodes.values()}
            assert len(versions) == 1

    run_with_virtual_clock(session())
