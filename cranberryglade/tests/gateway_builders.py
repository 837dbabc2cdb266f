"""Builders of what the gateway's tests need."""

from cranberryglade.gateway import catalogue
from cranberryglade.gateway import messages
from cranberryglade.standins import routes

SERVICE = routes.SERVICE
HOST = routes.HOST


def an_endpoint(id_="e-1", **changes) -> messages.Endpoint:
    fields = {
        "id": id_,
        "service": SERVICE,
        "address": f"10.0.0.{len(id_)}:80",
        "domain": "north",
        "slots": 2,
        "leaving": False,
        "born": 1,
    }
    return messages.Endpoint(**(fields | changes))


def a_need(id_="r-1", **changes) -> messages.Need:
    fields = {
        "id": id_,
        "service": SERVICE,
        "rank": 0,
        "kind": catalogue.Kind.RESUMABLE,
        "prompt_tokens": 1000,
        "output_tokens": 100,
        "until": 100.0,
        "aim": 100.0,
    }
    return messages.Need(**(fields | changes))


def a_route(**changes) -> catalogue.Route:
    fields = {
        "name": "r-brief",
        "host": HOST,
        "prefix": "/brief/",
        "kind": catalogue.Kind.IDEMPOTENT,
        "timeout_seconds": 2.0,
        "aim_seconds": 0.5,
        "rank": 0,
        "shares": (catalogue.Share(SERVICE, 1.0),),
        "attempts": 2,
        "anonymous": False,
        "pause_seconds": 0.5,
    }
    return catalogue.Route(**(fields | changes))


def an_organisation(**changes) -> catalogue.Organisation:
    fields = {
        "name": "studio",
        "keys": ("key-1",),
        "rank": 1,
        "counts_tokens": True,
        "plain_tokens": 200,
        "rate": 1000.0,
        "burst": 500.0,
    }
    return catalogue.Organisation(**(fields | changes))


def a_catalogue(version=1, routes=None, organisations=None, **limits):
    return catalogue.Catalogue(
        version,
        [a_route()] if routes is None else routes,
        [catalogue.Service(SERVICE, 2, 100, 0)],
        catalogue.Limits(**limits),
        [an_organisation()] if organisations is None else organisations,
    )


def the_facts(**changes) -> messages.Facts:
    fields = {
        "id": "a-1",
        "host": HOST,
        "path": "/brief/x",
        "key": "key-1",
        "patience_seconds": 5.0,
        "prompt_tokens": 100,
        "output_tokens": 20,
        "sized": True,
        "expected_tokens": 20,
        "last_event": "",
    }
    return messages.Facts(**(fields | changes))
