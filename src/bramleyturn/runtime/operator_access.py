"""Restrict routes to callers that hold the operators' key."""

from typing import Final

from bramleyturn.core.intake import BadRequest
from bramleyturn.core.model import AdminSettings
from bramleyturn.core.operator_access import check_operator
from bramleyturn.runtime.http_server import header, problem
from bramleyturn.runtime.twisted_types import HttpRequest

STATUS_UNAUTHORIZED: Final = 401


def refuse_non_operator(request: HttpRequest, admin: AdminSettings) -> bytes | None:
    """Return a 401 body for a caller without the operators' key, else None."""
    refused = check_operator(admin, header(request, "Authorization"))
    if refused is None:
        return None
    return unauthorized(request, refused)


def unauthorized(request: HttpRequest, refused: BadRequest) -> bytes:
    """Return a problem document and ask for a bearer key."""
    request.setHeader("WWW-Authenticate", "Bearer")
    return problem(request, refused)
