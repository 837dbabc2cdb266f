"""Adapters between the users' platform and the gateway, without policy.

The folder is inside the package: at the root of the repository its name would
shadow the standard library's module `platform` for every program started
there.
"""
