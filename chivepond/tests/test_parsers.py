"""Bytes from outside: every parser gives a typed error, never a crash."""

import asyncio
import contextlib
import dataclasses
import importlib
import inspect
import json
import pkgutil
from collections.abc import Iterator
from typing import Any

import hypothesis
import msgspec
import pytest
import result
from hypothesis import strategies as st

from chivepond import wire
from chivepond.control import draft_check, request_key
from chivepond.entry import application, cursor
from chivepond.errors import invalid
from chivepond.settings import gateway_settings, loader, node_settings
from chivepond.standins import deployment_plan, embedded, service_plan
from chivepond.transport import address, bodies, endpoints
from chivepond.wire import codec, command_answer, error_reply, section_edit

_HUGE = b'1%s' % (b'0' * 5000)
_NASTY = (
    b'',
    b'null',
    b'NaN',
    b'[NaN]',
    b'{"limit": Infinity}',
    _HUGE,
    b'{"service": "p", "query": "q", "caller": "c", "limit": %s}' % _HUGE,
    b'"\xff\xfe"',
    json.dumps('\ud800').encode(),
    b'\xef\xbb\xbf{}',
    b'[' * 100000,
    b'{"a":' * 100000,
    b'{"body":%s%s}' % (b'[' * 50000, b']' * 50000),
)
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=9), inner, max_size=4)
    ),
    max_leaves=12,
)


def _kinds() -> Iterator[type[Any]]:
    for found in pkgutil.iter_modules(wire.__path__):
        module = importlib.import_module(f'chivepond.wire.{found.name}')
        for _, kind in inspect.getmembers(module, dataclasses.is_dataclass):
            if kind.__module__ == module.__name__:
                yield kind


_KINDS = list(_kinds())


@pytest.mark.parametrize('raw', _NASTY)
def test_every_message_refuses_nasty_bytes(raw: bytes) -> None:
    """Depth, huge numbers, NaN and bad UTF-8 are told as invalid."""
    for kind in _KINDS:
        read = codec.decode(kind, raw)
        if read.is_ok():
            assert b'service' in raw
            continue
        assert isinstance(read.unwrap_err(), invalid.Invalid)
        assert len(read.unwrap_err().message) < 1000


@hypothesis.given(
    st.sampled_from(_KINDS),
    st.binary() | _JSON.map(lambda told: json.dumps(told).encode()),
)
def test_every_message_takes_any_bytes(kind: type[Any], raw: bytes) -> None:
    """Any bytes are a message of the kind, or a typed error."""
    read = codec.decode(kind, raw)
    if read.is_ok():
        assert isinstance(read.unwrap(), kind)
    else:
        assert isinstance(read.unwrap_err(), invalid.Invalid)


@hypothesis.given(drawn=st.data())
def test_every_message_with_wrong_values(drawn: st.DataObject) -> None:
    """The right names with values of any kind give no crash either."""
    kind = drawn.draw(st.sampled_from(_KINDS))
    told = {field.name: drawn.draw(_JSON) for field in dataclasses.fields(kind)}
    read = codec.decode(kind, json.dumps(told).encode())
    assert read.is_ok() or isinstance(read.unwrap_err(), invalid.Invalid)


_ARABIC_ONE = '\u0661'
_ODD_TEXTS = (
    '9' * 5000,
    f'127.0.0.1:{"9" * 5000}',
    '[' * 5000,
    '\ud800',
    f'127.0.0.1:{_ARABIC_ONE}',
    f'{_ARABIC_ONE * 13}-abcdefgh',
)


@hypothesis.given(st.sampled_from(_ODD_TEXTS) | st.text())
def test_small_parsers_take_any_text(text: str) -> None:
    """Cursors, request keys and addresses are read or told as invalid."""
    for parse in (cursor.from_text, request_key.issued_ms, address.parse):
        read = parse(text)
        if read.is_err():
            assert isinstance(read.unwrap_err(), invalid.Invalid)
            assert len(read.unwrap_err().message) < 300
        else:
            assert text.isascii()


@hypothesis.given(st.integers(), st.integers())
def test_cursor_of_any_numbers_is_read(version: int, offset: int) -> None:
    """A forged cursor is read as such; the search checks its range."""
    raw = cursor.to_text(cursor.Cursor(version=version, offset=offset))
    read = cursor.from_text(raw)
    assert read.is_err() or read.unwrap().offset == offset


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'a: [',
        b'\xff',
        b'\x00',
        b'%sx' % (b'- ' * 3000),
        b'[' * 5000,
        b'&a [*a]',
        b'&a {services: *a}',
        b'{services: 2001-99-99}',
        b'{[]: 1}',
        b'{? {} : 1}',
        b'!!python/object:os.system {}',
        b'!!int "0b"',
        b'!!timestamp "x"',
        b'{=: 1, <<: 1}',
        b'x: .nan',
        b'claim_retention_s: 1e999',
        b'claim_retention_s: %s' % _HUGE,
        b'{1: 2}',
    ],
)
def test_settings_refuse_nasty_yaml(text: bytes) -> None:
    """Whatever the YAML library makes of a file, its place is named."""
    for kind in (node_settings.NodeSettings, *_SECTIONS):
        read = loader.parse(kind, text, 'some.yaml')
        if read.is_err():
            assert read.unwrap_err().message.startswith('some.yaml')
            assert len(read.unwrap_err().message) < 1000


def test_settings_are_bounded_in_size() -> None:
    """A file larger than the platform keeps is refused before it is read."""
    padded = b'{}'.ljust(loader.MAX_BYTES + 1)
    for kind in _SECTIONS:
        wrong = loader.parse(kind, padded, 'some.yaml').unwrap_err()
        assert 'bytes' in wrong.message


_SECTIONS = tuple(draft_check.KIND_BY_SECTION.values())


@hypothesis.given(st.binary() | _JSON.map(msgspec.yaml.encode))
def test_settings_take_any_yaml(text: bytes) -> None:
    """Any bytes are settings, or an error that names the file."""
    for kind in (node_settings.NodeSettings, *_SECTIONS):
        read = loader.parse(kind, text, 'some.yaml')
        if read.is_err():
            assert read.unwrap_err().message.startswith('some.yaml')


class _Callers:
    """The callers' application of a running node, called in process."""

    def __init__(self) -> None:
        """Keep one loop for all examples."""
        self._runner = asyncio.Runner()
        self._deployed = embedded.EmbeddedDeployment(
            deployment_plan.DeploymentPlan(
                services=[
                    service_plan.ServicePlan(name='p', index='i', groups=1),
                ],
                nodes_per_data_centre=1,
                node={'balancer_lag_ms': 0, 'log_level': 'ERROR'},
            ),
        )

    def __enter__(self) -> '_Callers':
        """Start the deployment."""
        self._runner.run(self._deployed.__aenter__())
        node = next(iter(self._deployed.node_by_id.values()))
        self._application = application.EntryApplication(
            node.searches,
            node.commands,
            node.waits_for,
            node.metrics,
        ).build()
        return self

    def __exit__(self, *unused: object) -> None:
        """Stop it."""
        self._runner.run(self._deployed.__aexit__(None, None, None))
        self._runner.close()

    def call(self, method: str, path: str, *parts: bytes) -> tuple[int, bytes]:
        """Return status and body of one request."""
        asked = ask(self._application, method, path, *parts)
        return self._runner.run(asked)


class _Exchange:
    """One request and its response, as messages of ASGI."""

    def __init__(self, parts: tuple[bytes, ...]) -> None:
        """Send the body in ``parts``."""
        self.told: list[dict[str, Any]] = []
        self._waiting = [
            {'type': 'http.request', 'body': part, 'more_body': True}
            for part in parts
        ]
        self._waiting.append({'type': 'http.request', 'body': b''})

    async def receive(self) -> dict[str, Any]:
        """Return the next part of the request."""
        return self._waiting.pop(0)

    async def send(self, message: dict[str, Any]) -> None:
        """Keep a part of the response."""
        self.told.append(message)


async def ask(
    called: Any,
    method: str,
    path: str,
    *parts: bytes,
) -> tuple[int, bytes]:
    """Call an application through its ASGI interface."""
    scope = {
        'type': 'http',
        'method': method,
        'path': path,
        'raw_path': path.encode(errors='replace'),
        'query_string': b'',
        'headers': [(b'content-type', b'application/json')],
    }
    exchange = _Exchange(parts)
    # The library raises a fault again once it was answered.
    with contextlib.suppress(ZeroDivisionError):
        await called(scope, exchange.receive, exchange.send)
    body = b''.join(one.get('body', b'') for one in exchange.told)
    return exchange.told[0]['status'], body


@pytest.fixture(scope='module')
def callers() -> Iterator[_Callers]:
    """Keep one deployment for the tests of callers' bodies."""
    with _Callers() as made:
        yield made


def _check(status: int, body: bytes) -> None:
    assert status in {200, 400, 404, 413, 429, 503, 504}, body
    if status != 200:
        error = codec.decode(error_reply.ErrorReply, body).unwrap().error
        assert error.kind != 'internal'
        assert error.remedy


@pytest.mark.parametrize('raw', _NASTY)
@pytest.mark.parametrize('path', ['/v1/search', '/v1/commands'])
def test_callers_send_nasty_bodies(
    callers: _Callers,
    path: str,
    raw: bytes,
) -> None:
    """A nasty body is told as invalid or too large, in the error form."""
    status, body = callers.call('POST', path, raw)
    assert status in {400, 413}
    _check(status, body)


def test_callers_send_without_end(callers: _Callers) -> None:
    """A body over the bound is refused before it was read whole."""
    part = b'x' * 4096
    parts = [part for _ in range(bodies.MAX_CALLER_BYTES // len(part) + 1)]
    assert callers.call('POST', '/v1/search', *parts)[0] == 413


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    limit=st.integers(),
    deadline_ms=st.integers(-(10**40), 10**40),
    service=st.sampled_from(['p', 'q', '']) | st.text(),
    text=st.text(),
    page=st.text()
    | st.builds(
        lambda version, offset: cursor.to_text(
            cursor.Cursor(version, offset),
        ),
        st.integers(),
        st.integers(),
    ),
)
def test_callers_send_odd_searches(
    callers: _Callers,
    limit: int,
    deadline_ms: int,
    service: str,
    text: str,
    page: str,
) -> None:
    """Any values in the right fields give an answer or a typed error."""
    told = {
        'service': service,
        'query': text,
        'caller': text,
        'limit': limit,
        'deadline_ms': deadline_ms,
        'request_id': text,
        'request_class': text,
        'cursor': page,
    }
    _check(*callers.call('POST', '/v1/search', json.dumps(told).encode()))


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    key=st.text() | st.from_regex('[0-9]{13}-[a-z]{8}', fullmatch=True),
    deadline_ms=st.integers(-(10**40), 10**40),
    text=st.text(),
)
def test_callers_send_odd_commands(
    callers: _Callers,
    key: str,
    deadline_ms: int,
    text: str,
) -> None:
    """Any values in the right fields give an outcome or a typed error."""
    told = {
        'service': 'p',
        'key': key,
        'shard_key': text,
        'body': text,
        'caller': text,
        'deadline_ms': deadline_ms,
    }
    _check(*callers.call('POST', '/v1/commands', json.dumps(told).encode()))


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    st.sampled_from(['GET', 'POST', 'PUT', 'DELETE', 'BREW']),
    st.sampled_from(['/v1/commands/', '/v1/', '/']),
    st.text(max_size=40),
)
def test_callers_ask_odd_paths(
    callers: _Callers,
    method: str,
    path: str,
    rest: str,
) -> None:
    """Paths and methods that are not served are told in the error form."""
    status, body = callers.call(method, path + rest)
    if status != 200:
        _check(status, body)


async def _fault(_: command_answer.CommandAnswer) -> endpoints.Outcome:
    raise ZeroDivisionError('a fault of the program')


def test_unforeseen_fault_is_told_in_form() -> None:
    """A fault of the program is a typed error, without its inner text."""
    kind = command_answer.CommandAnswer
    made = endpoints.application([endpoints.post('/fault', kind, _fault)])
    raw = codec.encode(kind(key='k', outcome='done'))
    status, body = asyncio.run(ask(made, 'POST', '/fault', raw))
    error = codec.decode(error_reply.ErrorReply, body).unwrap().error
    assert (status, error.kind) == (500, 'internal')
    assert 'fault of the program' not in error.message


async def _echo(edit: section_edit.SectionEdit) -> endpoints.Outcome:
    return result.Ok(bytes(edit.body).decode())


def test_bytes_passed_on_unread_are_checked() -> None:
    """Bad UTF-8 is refused in parts, too, that are decoded later.

    An operator applies a section in another encoding. The decoder passes
    the section on as it is; it would be stored, and break every reader.
    """
    path = '/v1/config'
    route = endpoints.post(path, section_edit.SectionEdit, _echo)
    raw = b'{"section": "search", "base_edits": 0, "body": "\xe9"}'
    made = endpoints.application([route])
    _check(*asyncio.run(ask(made, 'POST', path, raw)))


def test_settings_in_braces_are_read_as_json_or_as_yaml():
    """A file in braces is the same settings, with comments as well."""
    fields = {
        'node_id': 'g',
        'data_centre': 'base',
        'region_by_data_centre': {'base': 'coast'},
        'callers': '127.0.0.1:1',
        'readiness': '127.0.0.1:2',
        'store': '127.0.0.1:3',
        'peers': '127.0.0.1:4',
    }
    text = json.dumps(fields)
    kind = gateway_settings.GatewaySettings
    plain = loader.parse(kind, text.encode(), 'here').unwrap()
    noted = f'{text[:-1]} # a comment\n}}'.encode()
    assert loader.parse(kind, noted, 'here').unwrap() == plain
    wrong = text.replace('"g"', '7').encode()
    assert 'node_id' in str(loader.parse(kind, wrong, 'here').unwrap_err())
