"""The platform's store: rows in tables, read, watched and written."""

import asyncio
import base64
import json
import time
import urllib.parse

from . import wire

Key = tuple[str, str, str]


class Store:
    """Keeps rows in memory and answers as PROTOCOL.md says.

    :ivar address: IP:PORT once started.
    """

    def __init__(self) -> None:
        self.address = ''
        self._rows: dict[Key, tuple[bytes, int]] = {}
        # Key, value or None, version, in the order of the versions.
        self._history: list[tuple[Key, bytes | None, int]] = []
        self._version = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(
            self._serve, host, 0, limit=wire.HEAD_LIMIT
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row as the operator or a replica does."""
        self._commit([((table, '', key), json.dumps(content).encode())])

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._commit([((table, '', key), None)])

    def list_table(self, table: str) -> dict[str, bytes]:
        """Return the values of a table by their keys."""
        return {
            key[2]: value
            for key, (value, _) in self._rows.items()
            if key[0] == table
        }

    def _commit(self, changes: list[tuple[Key, bytes | None]]) -> None:
        self._version += 1
        for key, value in changes:
            if value is None:
                self._rows.pop(key, None)
            else:
                self._rows[key] = (value, self._version)
            self._history.append((key, value, self._version))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (call := await wire.read_message(reader)) is not None:
                url = urllib.parse.urlsplit(call.target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, content = await self._answer(url.path, query, call)
                headers = {'Store-Era': '1'}
                answer = wire.build_json(status, content, headers)
                await wire.send(writer, answer)
        except OSError:
            pass
        finally:
            writer.close()

    async def _answer(
        self, path: str, query: dict[str, str], call: wire.Message
    ) -> tuple[int, dict]:
        await asyncio.sleep(0.004)
        if path == '/rows-get':
            return self._get(query)
        if path == '/rows-feed':
            return await self._feed(query)
        if path == '/rows-tx':
            return self._transact(json.loads(call.body))
        return 404, {}

    def _get(self, query: dict[str, str]) -> tuple[int, dict]:
        rows = [
            _encode(key, value, version)
            for key, (value, version) in sorted(self._rows.items())
            if key[0] == query['table']
            and key[1] == query.get('part', '')
            and query.get('from', '') <= key[2]
        ]
        limit = int(query.get('limit', '500'))
        return 200, {
            'rows': rows[:limit],
            'more_pages': len(rows) > limit,
            'ver': self._version,
            'now_ms': int(time.monotonic() * 1000),
        }

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        until = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        after = int(query['after'])
        while True:
            newest: dict[Key, tuple[bytes | None, int]] = {}
            for key, value, version in self._history:
                if key[0] == query['table'] and version > after:
                    newest[key] = (value, version)
            remaining = until - time.monotonic()
            if newest or remaining <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue
        rows = [_encode(key, *item) for key, item in newest.items()]
        return 200, {
            'rows': sorted(rows, key=lambda row: row['ver']),
            'ver': self._version,
            'now_ms': int(time.monotonic() * 1000),
        }

    def _transact(self, call: dict) -> tuple[int, dict]:
        for row in call.get('expected', []):
            key = (row['table'], row.get('part', ''), row['key'])
            _, version = self._rows.get(key, (b'', 0))
            if version != row['ver']:
                return 412, {'rows': [], 'ver': self._version}
        changes: list[tuple[Key, bytes | None]] = []
        for row in call.get('put', []):
            key = (row['table'], row.get('part', ''), row['key'])
            changes.append((key, base64.b64decode(row['value'])))
        for row in call.get('remove', []):
            key = (row['table'], row.get('part', ''), row['key'])
            changes.append((key, None))
        self._commit(changes)
        return 200, {
            'ver': self._version,
            'now_ms': int(time.monotonic() * 1000),
        }


def _encode(key: Key, value: bytes | None, version: int) -> dict:
    row: dict[str, object] = {
        'table': key[0],
        'part': key[1],
        'key': key[2],
        'ver': version,
    }
    if value is None:
        row['tombstone'] = True
    else:
        row['value'] = base64.b64encode(value).decode()
    return row
