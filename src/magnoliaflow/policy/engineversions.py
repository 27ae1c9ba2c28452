"""Engines by service and version, for requests that are held to a version."""

from dataclasses import replace

from magnoliaflow.policy.engines import Engine


def list_version(
    versions: dict[str, dict[str, list[str]]], engine: Engine
) -> None:
    """Add an engine to those of its version."""
    by_version = versions.setdefault(engine.cfg.backend, {})
    by_version.setdefault(engine.cfg.version, []).append(engine.name)


def unlist_version(
    versions: dict[str, dict[str, list[str]]], engine: Engine
) -> None:
    """Remove an engine, and its version with the last one."""
    by_version = versions[engine.cfg.backend]
    by_version[engine.cfg.version].remove(engine.name)
    if not by_version[engine.cfg.version]:
        del by_version[engine.cfg.version]


def set_version(
    versions: dict[str, dict[str, list[str]]], engine: Engine, version: str
) -> None:
    """Set the version of an engine, which was not known before."""
    unlist_version(versions, engine)
    engine.cfg = replace(engine.cfg, version=version)
    list_version(versions, engine)
