"""Check the responses of running processes against an OpenAPI document."""

import json
import re
from typing import Any

from jsonschema import Draft202012Validator
from klein import Klein

from bramleyturn.runtime.openapi import openapi_bytes
from tests.http_calls import Reply

METHODS = frozenset({"get", "post", "put", "delete", "patch"})
Operation = tuple[str, str]


class ApiDocument:
    """Hold an OpenAPI document and the responses that were checked against it."""

    def __init__(self, name: str) -> None:
        self.document: dict[str, Any] = json.loads(openapi_bytes(name))
        self.seen: set[tuple[str, str, int]] = set()


def check_reply(api: ApiDocument, method: str, target: str, reply: Reply) -> None:
    """Fail unless the document describes this response, its type and its headers."""
    path = match_path(api.document, target)
    responses = api.document["paths"][path][method.lower()]["responses"]
    place = f"{method} {path} {reply.status}"
    assert str(reply.status) in responses, f"{place} is not described"
    response = responses[str(reply.status)]
    content = response["content"]
    kind = reply.headers["content-type"]
    assert kind in content, f"{place} has the type {kind}"
    schema = {
        **content[kind]["schema"],
        "components": api.document["components"],
    }
    errors = [error.message for error in validator(schema).iter_errors(reply.document)]
    assert not errors, f"{place}: {errors}"
    for name in response.get("headers", {}):
        assert name.lower() in reply.headers, f"{place} lacks {name}"
    api.seen.add((method, path, reply.status))


def validator(schema: dict[str, Any]) -> Draft202012Validator:
    """Return a validator for a schema, which must be valid itself."""
    Draft202012Validator.check_schema(schema)
    return Draft202012Validator(schema)


def match_path(document: dict[str, Any], target: str) -> str:
    """Return the path template that a request target matches."""
    wanted = target.partition("?")[0]
    for path in document["paths"]:
        pattern = re.sub(r"\\\{[^/]+\\\}", "[^/]+", re.escape(path))
        if re.fullmatch(pattern, wanted):
            return str(path)
    raise AssertionError(f"{wanted} is not described")


def described_operations(document: dict[str, Any]) -> set[Operation]:
    """Return the methods and paths of a document."""
    return {
        (method.upper(), path)
        for path, item in document["paths"].items()
        for method in item
        if method in METHODS
    }


def served_operations(app: Klein) -> set[Operation]:
    """Return the methods and paths that an application serves."""
    return {
        (method, re.sub(r"<([^>]+)>", r"{\1}", rule.rule))
        for rule in app.url_map.iter_rules()
        for method in (rule.methods or set()) - {"HEAD", "OPTIONS"}
    }
