"""Starts gateways as the platform does, with the settings of a small site."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

import http_text
import store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
#: The bounds of the site cmpla-passfind.
GRACE_S = 6
DRAIN_MS = 3000
CONFIG_APPLY_MS = 3000
LOSS_SLACK_S = 0.2
REGION_BY_ZONE = {
    'whistler-base': 'sea-to-sky',
    'kelowna-hub': 'okanagan',
    'nelson-yard': 'kootenay',
}
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def run_command():
    """Return the words of ``run`` in the deploy file."""
    for line in (ROOT / 'deploy' / 'system.toml').read_text().splitlines():
        if line.startswith('run = '):
            return line.split('"')[1].split()
    raise SystemExit(2)


def free_port(ip):
    """Return a free port of ``ip``."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Gateway:
    """One gateway process on its own loopback address."""

    def __init__(self, name, zone, ip, ports, folder, settings):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.front, self.ready, self.control, self.metrics = ports
        self.folder = folder
        self.settings = settings
        self.process = None

    async def start(self):
        """Start the program with the command of the deploy file."""
        path = self.folder / f'{self.name}.yaml'
        path.write_text(json.dumps(self.settings, indent=1))
        words = run_command()
        words[-1] = str(path)
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['CHIVEPOND_CONFIG'] = str(path)
        environment['PYTHONPATH'] = f'{ROOT}{os.pathsep}{ROOT / "target/deps"}'
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal to this process, unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def is_ready(self):
        """Ask once whether it is ready, as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
        except OSError:
            return False
        try:
            writer.write(b'GET /api/ready HTTP/1.1\r\nHost: platform\r\n\r\n')
            answer = await asyncio.wait_for(
                http_text.read_response(reader), 1
            )
            return answer is not None and answer[0] == 200
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()


class Deployment:
    """A store, gateways and a record of what was seen."""

    def __init__(self, case):
        self.case = pathlib.Path(case).resolve()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.lines = []
        self.started = time.monotonic()
        self.gateways = []
        self.net = f'127.{random.randint(10, 250)}.{random.randint(0, 250)}'

    def note(self, text):
        """Add one line to the record."""
        at = time.monotonic() - self.started
        self.lines.append(f'{at:9.3f} {text}')

    async def start_store(self):
        """Start the store."""
        self.store = store_module.Store()
        await self.store.start(f'{self.net}.250')

    async def start_gateways(self, zones, store_by_zone=None):
        """Start one gateway in each of ``zones``; wait until all are ready.

        ``store_by_zone`` gives some of them another address of the store.
        """
        store_by_zone = store_by_zone or {}
        places = []
        for number, zone in enumerate(zones, start=1):
            ip = f'{self.net}.{number}'
            ports = [free_port(ip) for _ in range(4)]
            places.append((f'edge-{zone}-{number}', zone, ip, ports))
        seeds = [f'{ip}:{ports[2]}' for _, _, ip, ports in places[:3]]
        for name, zone, ip, ports in places:
            settings = {
                'node_id': name,
                'data_centre': zone,
                'region_by_data_centre': REGION_BY_ZONE,
                'callers': f'{ip}:{ports[0]}',
                'readiness': f'{ip}:{ports[1]}',
                'store': store_by_zone.get(zone, self.store.address),
                'peers': f'{ip}:{ports[2]}',
                'metrics_port': ports[3],
                'seeds': seeds,
                'memory_mb': 300,
                'max_descriptors': 4100,
                'link_mbps': 1000.0,
                'stop_grace_s': GRACE_S,
                'second_send_share': 0.2,
                'second_send_burst': 54,
                'second_send_span_s': 10,
                'is_first_start': True,
                'routes_bound_ms': CONFIG_APPLY_MS,
                'leaving_bound_ms': DRAIN_MS,
            }
            gateway = Gateway(name, zone, ip, ports, self.folder, settings)
            self.gateways.append(gateway)
            await gateway.start()
            self.note(f'{name} starts, process {gateway.process.pid}')
        for _ in range(200):
            ready = [await gateway.is_ready() for gateway in self.gateways]
            if all(ready):
                self.note('all gateways are ready')
                return
            await asyncio.sleep(0.1)
        raise RuntimeError('a gateway did not become ready')

    async def close(self):
        """End all processes and write the record."""
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            if gateway.process is not None:
                await gateway.process.wait()
        (self.case / 'record.txt').write_text('\n'.join(self.lines) + '\n')
        if os.environ.get('KEEP_LOGS'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, max_conns):
    """Return a configuration whose services take ``max_conns`` connections."""
    services = sorted({route['service'] for route in routes})
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/healthz',
                'max_conns': max_conns,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }


def main(case, scenario, limit_s=105):
    """Run ``scenario(deployment)``, which returns whether the rule held."""

    async def run():
        deployment = Deployment(case)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        try:
            await deployment.start_store()
            held = await asyncio.wait_for(scenario(deployment), limit_s)
        except (Exception, asyncio.CancelledError) as error:
            deployment.note(f'could not run: {error!r}')
            print(f'could not run: {error!r}', file=sys.stderr)
            return 2
        finally:
            await deployment.close()
        return 0 if held else 1

    sys.exit(asyncio.run(run()))
