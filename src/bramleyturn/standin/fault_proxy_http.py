"""Read the fault proxy's settings and control its links over HTTP."""

import configparser
from typing import Any, Final, NamedTuple

from klein import Klein
from twisted.internet.error import CannotListenError
from twisted.internet.posixbase import PosixReactorBase
from twisted.web.http import Request

from bramleyturn.core.clock import Clock
from bramleyturn.standin.fault_proxy import (
    Link,
    describe_link,
    open_link,
    set_behaviour,
)
from bramleyturn.standin.json_http import (
    BadBody,
    answer,
    bad_request,
    quiet_site,
    read_object,
)
from bramleyturn.standin.link_behaviour import (
    BadLink,
    LinkBehaviour,
    apply_link_changes,
)
from bramleyturn.standin.ports import address_of, listen
from bramleyturn.standin.settings import Fault, Listen, SettingsFaults, parse_listen

LINK_PREFIX: Final = "link "
ANY_PORT: Final = Listen("127.0.0.1", 0)


class LinkSettings(NamedTuple):
    """Describe a link to open."""

    name: str
    listen: Listen
    target: Listen


class ProxySettings(NamedTuple):
    """Hold the address of the control interface and the links to open."""

    control: Listen
    links: tuple[LinkSettings, ...]


class Links:
    """Hold the open links by name."""

    def __init__(self, reactor: PosixReactorBase, clock: Clock) -> None:
        self.reactor = reactor
        self.clock = clock
        self.by_name: dict[str, Link] = {}


def parse_proxy_settings(text: str) -> ProxySettings | SettingsFaults:
    """Return the settings in the INI document ``text``, or all of its faults."""
    parser = configparser.ConfigParser(
        interpolation=None, inline_comment_prefixes=(";",)
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return SettingsFaults((Fault("", "", str(error).replace("\n", " ")),))
    faults: list[Fault] = []
    links: list[LinkSettings] = []
    control = ANY_PORT
    for section in parser.sections():
        values = dict(parser[section])
        if section == "control":
            control = _take_address(section, "listen", values, faults)
        elif section.startswith(LINK_PREFIX):
            address = _take_address(section, "listen", values, faults)
            target = _take_address(section, "target", values, faults)
            name = section.removeprefix(LINK_PREFIX).strip()
            links.append(LinkSettings(name, address, target))
        else:
            faults.append(Fault(section, "", "is neither [link NAME] nor [control]"))
            continue
        faults.extend(Fault(section, key, "is not a known key") for key in values)
    return (
        SettingsFaults(tuple(faults)) if faults else ProxySettings(control, (*links,))
    )


def host_proxy(
    settings: ProxySettings, reactor: PosixReactorBase, clock: Clock
) -> dict[str, Any]:
    """Open all links and the control interface; return their addresses."""
    links = Links(reactor, clock)
    for link in settings.links:
        links.by_name[link.name] = open_link(
            link.name, link.listen, link.target, reactor, clock
        )
    site = quiet_site(control_app(links).resource())
    control = address_of(listen(reactor, settings.control, site))
    addresses = {
        name: _format_address(link.address) for name, link in links.by_name.items()
    }
    return {"address": control, "addresses": addresses}


def control_app(links: Links) -> Klein:
    """Return the application that shows, changes and adds links."""
    app = Klein()

    @app.route("/links", methods=["GET"])
    def show_all(request: Request) -> bytes:
        shown = {name: describe_link(link) for name, link in links.by_name.items()}
        return answer(request, 200, {"links": shown})

    @app.route("/links", methods=["PUT"])
    def change_many(request: Request) -> bytes:
        body = read_object(request)
        if isinstance(body, BadBody) or not isinstance(body.get("links"), dict):
            return bad_request(request, "expected links: an object by name")
        return _change(links, request, body["links"])

    @app.route("/links/<name>", methods=["GET"])
    def show(request: Request, name: str) -> bytes:
        link = links.by_name.get(name)
        if link is None:
            return answer(request, 404, {"error": f"no link {name}"})
        return answer(request, 200, describe_link(link))

    @app.route("/links/<name>", methods=["PUT"])
    def change(request: Request, name: str) -> bytes:
        body = read_object(request)
        if isinstance(body, BadBody):
            return bad_request(request, body.reason)
        return _change(links, request, {name: body})

    return app


def _change(links: Links, request: Request, changes: dict[str, Any]) -> bytes:
    """Change or add links; if one change is invalid, apply none."""
    behaviours: dict[str, LinkBehaviour] = {}
    added: list[LinkSettings] = []
    targets: dict[str, Listen] = {}
    for name, fields in changes.items():
        if not isinstance(fields, dict):
            return bad_request(request, f"{name}: expected an object")
        rest = dict(fields)
        if name not in links.by_name:
            link = _new_link(name, rest)
            if isinstance(link, BadLink):
                return bad_request(request, f"{name}: {link.reason}")
            added.append(link)
        elif "target" in rest:
            target = _take_target(rest)
            if isinstance(target, BadLink):
                return bad_request(request, f"{name}: {target.reason}")
            targets[name] = target
        known = links.by_name.get(name)
        behaviour = apply_link_changes(
            known.behaviour if known else LinkBehaviour(), rest
        )
        if isinstance(behaviour, BadLink):
            return bad_request(request, f"{name}: {behaviour.reason}")
        behaviours[name] = behaviour
    for link in added:
        try:
            links.by_name[link.name] = open_link(
                link.name, link.listen, link.target, links.reactor, links.clock
            )
        except CannotListenError as error:
            return answer(request, 409, {"error": str(error)})
    for name, target in targets.items():
        links.by_name[name].target = target
    for name, behaviour in behaviours.items():
        set_behaviour(links.by_name[name], behaviour)
    shown = {name: describe_link(links.by_name[name]) for name in changes}
    return answer(request, 200, {"links": shown})


def _new_link(name: str, fields: dict[str, Any]) -> LinkSettings | BadLink:
    """Remove the addresses of a new link from ``fields`` and return them."""
    if "target" not in fields:
        return BadLink("a new link needs a target")
    try:
        address = parse_listen(str(fields.pop("listen", _format_address(ANY_PORT))))
        target = parse_listen(str(fields.pop("target")))
    except ValueError as error:
        return BadLink(str(error))
    return LinkSettings(name, address, target)


def _take_target(fields: dict[str, Any]) -> Listen | BadLink:
    """Remove the new target of a known link from ``fields`` and return it."""
    try:
        return parse_listen(str(fields.pop("target")))
    except ValueError as error:
        return BadLink(str(error))


def _take_address(
    section: str, key: str, values: dict[str, str], faults: list[Fault]
) -> Listen:
    """Remove an address from ``values`` and return it; append a fault if invalid."""
    if key not in values:
        faults.append(Fault(section, key, "is missing"))
        return ANY_PORT
    try:
        return parse_listen(values.pop(key))
    except ValueError as error:
        faults.append(Fault(section, key, str(error)))
        return ANY_PORT


def _format_address(address: Listen) -> str:
    return f"{address.host}:{address.port}"
