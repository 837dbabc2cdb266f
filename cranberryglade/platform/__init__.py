"""Translates between the users' platform and the gateway; decides nothing.

The folder lies inside the package: at the root of the repository its name
would hide the standard library's module `platform` from every program started
there.
"""
