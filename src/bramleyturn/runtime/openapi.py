"""Serve the OpenAPI document of a process."""

from importlib.resources import files

from klein import Klein

from bramleyturn.runtime.http_server import JSON_TYPE
from bramleyturn.runtime.twisted_types import HttpRequest


def openapi_api(app: Klein, name: str) -> None:
    """Add the route of an OpenAPI document to ``app``."""
    content = openapi_bytes(name)

    @app.route("/v1/openapi.json", methods=["GET"])
    def openapi(request: HttpRequest) -> bytes:
        request.setHeader("Content-Type", JSON_TYPE)
        return content


def openapi_bytes(name: str) -> bytes:
    """Return an OpenAPI document as packaged."""
    return files("bramleyturn.openapi").joinpath(f"{name}.json").read_bytes()
