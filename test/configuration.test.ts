/**
 * Guards against an accepted configuration that does not reach every data centre within seconds, or that is
 * later reverted, when nodes or the store fail.
 */
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, beforeEach, describe, test } from 'node:test';
import { type CheckReport, ExitCode } from '@toucanbend/cli';
import {
  callJson,
  type Fleet,
  type FleetNode,
  OPERATOR_KEY,
  READER_KEY,
  startFleet,
  until,
} from '../fakes/fleet.js';
import { StoreFault } from '../fakes/store.js';

/** Time limit for a change to take effect in every data centre. */
const SPREAD_TARGET_MS = 13_000;

interface HttpAnswer {
  readonly status: number;
  readonly text: string;
}

describe('the configuration', () => {
  let fleet: Fleet;
  before(async () => {
    fleet = await startFleet({
      dataCentres: [
        { name: 'dc-1', region: 'bagmati' },
        { name: 'dc-2', region: 'bagmati' },
        { name: 'dc-3', region: 'sul-br' },
      ],
      entries: [1, 2, 3].map((index) => ({
        name: `entry-${String(index)}`,
        dataCentre: `dc-${String(index)}`,
      })),
      backends: [1, 2, 3].map((index) => ({
        name: `engine-${String(index)}`,
        dataCentre: `dc-${String(index)}`,
        engine: {},
      })),
      accounts: [{ name: 'patan' }],
    });
  });
  after(() => fleet.stop());
  beforeEach(() => callJson(fleet.store.port, '/fault', StoreFault.None));

  const nodes = (): readonly FleetNode[] => [...fleet.entries, ...fleet.sides];

  const administer = (
    entry: number,
    method: string,
    path: string,
    key: string,
    body?: string,
  ): Promise<HttpAnswer> =>
    new Promise((resolve, reject) => {
      const port = fleet.entries[entry]?.operatorPort ?? 0;
      const headers = { authorization: `Bearer ${key}`, 'x-why': 'a test' };
      const call = request({ host: '127.0.0.1', port, path, method, headers, agent: false }, (answer) => {
        let text = '';
        answer.setEncoding('utf8');
        answer.on('data', (chunk: string) => (text += chunk));
        answer.on('end', () => {
          resolve({ status: answer.statusCode ?? 0, text });
        });
      });
      call.on('error', reject);
      call.end(body);
    });

  const print = async (entry: number): Promise<string> =>
    (await administer(entry, 'GET', '/configuration', OPERATOR_KEY)).text;

  const withAccount = (toml: string, name: string): string => `${toml}\n[[accounts]]\nname = "${name}"\n`;

  const addAccount = async (entry: number, name: string): Promise<number> => {
    const answer = await administer(
      entry,
      'PUT',
      '/configuration',
      OPERATOR_KEY,
      withAccount(await print(entry), name),
    );
    assert.equal(answer.status, 200, answer.text);
    return (JSON.parse(answer.text) as { revision: number }).revision;
  };

  const revisionOf = async (node: FleetNode): Promise<number> =>
    (await callJson<{ revision: number }>(node.operatorPort, '/status')).revision;

  const waitUntilInForce = (revision: number): Promise<void> =>
    until(
      async () => (await Promise.all(nodes().map(revisionOf))).every((other) => other >= revision),
      `revision ${String(revision)} is in force everywhere`,
      SPREAD_TARGET_MS,
    );

  test('an accepted change takes effect in every data centre', async () => {
    await waitUntilInForce(await addAccount(0, 'bhaktapur'));
  });

  test('a printed configuration is unchanged after it is applied', async () => {
    const printed = await print(0);
    const answer = await administer(0, 'PUT', '/configuration', OPERATOR_KEY, printed);
    assert.equal(answer.status, 200);
    const withoutRevision = (text: string): string => text.replace(/^revision = \d+$/m, '');
    assert.equal(withoutRevision(await print(0)), withoutRevision(printed));
  });

  test('a changed file is compared with the version in force before it is applied', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'toucanbend-check-'));
    const file = join(folder, 'fleet.toml');
    const check = async (text: string): Promise<{ status: number | null; report: CheckReport }> => {
      writeFileSync(file, text);
      const store = `127.0.0.1:${String(fleet.store.port)}`;
      const program = ['dist/toucanbend.cjs', 'config', 'check', file, '--store', store, '--json'];
      const child = spawn(process.execPath, program, { stdio: ['ignore', 'pipe', 'inherit'] });
      const [output, [status]] = await Promise.all([
        child.stdout.setEncoding('utf8').toArray(),
        once(child, 'exit'),
      ]);
      return { status: status as number | null, report: JSON.parse(output.join('')) as CheckReport };
    };
    const printed = await print(0);
    const same = await check(printed);
    const changed = await check(withAccount(printed, 'thamel'));
    rmSync(folder, { recursive: true });
    assert.deepEqual(same.report.differences, []);
    assert.equal(same.report.comparedWith, Number(/^revision = (\d+)$/m.exec(printed)?.[1]));
    assert.deepEqual(
      changed.report.differences.map(({ section, name }) => [section, name]),
      [['accounts', 'thamel']],
    );
    assert.equal(changed.status, ExitCode.Failure);
    assert.ok(changed.report.findings.some(({ message }) => message.includes('no request can use thamel')));
    assert.equal(same.status, same.report.findings.length === 0 ? ExitCode.Success : ExitCode.Failure);
  });

  test('an accepted change propagates when the store becomes unreachable right after acceptance', async () => {
    await callJson(fleet.store.port, '/fault', StoreFault.LoseAnswers);
    const revision = await addAccount(1, 'kirtipur');
    await callJson(fleet.store.port, '/fault', StoreFault.Out);
    await waitUntilInForce(revision);
  });

  test('a node that restarts while the store is unreachable receives the newest revision from its peers', async () => {
    const revision = await addAccount(2, 'thimi');
    await waitUntilInForce(revision);
    await callJson(fleet.store.port, '/fault', StoreFault.Out);
    const node = fleet.sides[0];
    node?.process.signal('SIGKILL');
    await node?.process.exited;
    await node?.restart();
    await waitUntilInForce(revision);
    const status = await callJson<{ ready: boolean }>(node?.operatorPort ?? 0, '/status');
    assert.equal(status.ready, true);
  });

  test('concurrent changes by operators that retry are all applied', async () => {
    const names = ['lalitpur', 'dhulikhel', 'banepa', 'panauti'];
    const added = await Promise.all(
      names.map(async (name, index) => {
        for (;;) {
          const entry = index % 3;
          const text = withAccount(await print(entry), name);
          const answer = await administer(entry, 'PUT', '/configuration', OPERATOR_KEY, text);
          if (answer.status === 200) {
            return (JSON.parse(answer.text) as { revision: number }).revision;
          }
        }
      }),
    );
    await waitUntilInForce(Math.max(...added));
    const printed = await print(0);
    assert.deepEqual(
      names.filter((name) => !printed.includes(`"${name}"`)),
      [],
    );
  });

  test('an older document in a restored store does not replace the current one', async () => {
    const revision = await addAccount(0, 'older');
    await waitUntilInForce(revision);
    const key = 'toucanbend/configuration';
    await callJson(fleet.store.port, '/set', { key, value: JSON.stringify(fleet.document) });
    await until(
      () => fleet.entries.some((entry) => entry.process.errors().includes('older configuration')),
      'it is loud',
    );
    assert.ok((await Promise.all(nodes().map(revisionOf))).every((other) => other >= revision));
  });

  test('applying the printed configuration writes a newer document to a store restored with an older one', async () => {
    const printed = await print(0);
    const answer = await administer(0, 'PUT', '/configuration', OPERATOR_KEY, printed);
    assert.equal(answer.status, 200, answer.text);
    await waitUntilInForce((JSON.parse(answer.text) as { revision: number }).revision);
  });

  test('a wrong key, a read-only key and an invalid document are rejected with the reason', async () => {
    assert.equal((await administer(0, 'GET', '/configuration', 'wrong')).status, 401);
    assert.equal((await administer(0, 'PUT', '/configuration', READER_KEY, '')).status, 403);
    const bad = await administer(
      0,
      'PUT',
      '/configuration',
      OPERATOR_KEY,
      '[[accounts]]\nname = "x"\nweight = -1\n[[servers]]\nname = 3\n',
    );
    assert.equal(bad.status, 422);
    const { findings } = JSON.parse(bad.text) as { findings: { place: string }[] };
    assert.ok(findings.length >= 2);
  });
});
