/**
 * Crowds of clients that do not follow the limits, at a real process of the
 * daemon with both roles.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {findFreePorts, LOOPBACK} from '../../src/process/index.js';
import {
  announcedBody,
  chunkedBody,
  openCrowd,
  requestsAhead,
  sendOrdinary,
  startChunked,
  type Address,
  type Crowd,
  type Script,
} from './client.js';
import {DAEMON_MAIN, startProgram, type Program} from './process.js';

const TEST_TIMEOUT_MS = 240_000;
/** A caller resends a refused request, as the pages say. */
const ANSWER_TIMEOUT_MS = 40_000;
/** Memory that the target allows to control on a node. */
const MEMORY_MB = 256;
const MAX_CONNECTIONS = 150;
const MAX_DESCRIPTORS = 250;
const BODY_BUDGET_BYTES = 40 * 1024 * 1024;
const MIB = 1024 * 1024;

function repeat(count: number, create: () => Script): Script[] {
  return Array.from({length: count}, create);
}

describe('the daemon', () => {
  let folder: string;
  let daemon: Program;
  let entry: Address;
  let control: Address;
  let key: string;
  let crowd: Crowd | undefined;

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'lentildrift-crowd-'));
    const [entryPort, controlPort] = await findFreePorts(2);
    entry = {host: LOOPBACK, port: entryPort!};
    control = {host: LOOPBACK, port: controlPort!};
    daemon = startProgram('lentildriftd', [DAEMON_MAIN], {
      LENTILDRIFT_EMBEDDED: 'true',
      LENTILDRIFT_ENTRY_PORT: String(entryPort),
      LENTILDRIFT_CONTROL_PORT: String(controlPort),
      LENTILDRIFT_DATA_FOLDER: folder,
      LENTILDRIFT_MAX_CONNECTIONS: String(MAX_CONNECTIONS),
      LENTILDRIFT_BODY_BUDGET_BYTES: String(BODY_BUDGET_BYTES),
    });
    const line = await daemon.waitForLine('ready; try');
    key = /Bearer (\S+?)'/.exec(line)![1]!;
    await expect.poll(call, {timeout: 20_000}).toBe(200);
  });

  afterEach(async () => {
    crowd?.close();
    crowd = undefined;
    await daemon.kill();
    rmSync(folder, {recursive: true, force: true});
  });

  async function call(): Promise<number> {
    const answer = await sendOrdinary({
      ...entry,
      method: 'GET',
      path: '/call/lanes/today',
      headers: {authorization: `Bearer ${key}`},
    });
    return answer.status;
  }

  async function visit(
    address: Address,
    scripts: readonly Script[],
  ): Promise<void> {
    crowd = await openCrowd(address, scripts);
    await daemon.waitUntilIdle();
    checkDaemon();
    await expect
      .poll(() => call().catch(String), {timeout: ANSWER_TIMEOUT_MS})
      .toBe(200);
    checkDaemon();
  }

  function checkDaemon(): void {
    const lastLines = daemon.lines.slice(-20).join('\n');
    expect(daemon.isAlive(), lastLines).toBe(true);
    const peakMb = daemon.peakBytes() / 1e6;
    const descriptors = daemon.descriptors();
    console.log(
      `daemon: peak ${peakMb.toFixed(0)} MB, ${descriptors} descriptors`,
    );
    expect(descriptors).toBeLessThan(MAX_DESCRIPTORS);
    expect(peakMb).toBeLessThan(MEMORY_MB);
  }

  it(
    'outlives bodies for its control address that stop short',
    async () => {
      const head = startChunked(
        'POST',
        '/control.command',
        'Content-Type: application/json\r\n',
      );
      await visit(
        control,
        repeat(40, () => chunkedBody(head, 15 * MIB, 65_536)),
      );
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'outlives bodies for its control address in very small chunks that stop short',
    async () => {
      const head = startChunked(
        'POST',
        '/control.command',
        'Content-Type: application/json\r\n',
      );
      await visit(
        control,
        repeat(40, () => chunkedBody(head, 128 * 1024, 1)),
      );
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'outlives bodies far over the limit of its control address',
    async () => {
      const head = `POST /control.command HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: ${256 * MIB}\r\n\r\n`;
      await visit(
        control,
        repeat(40, () => announcedBody(head, 15 * MIB)),
      );
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'outlives lists of jobs in very small chunks that stop short',
    async () => {
      const head = startChunked(
        'POST',
        '/jobs',
        `Authorization: Bearer ${key}\r\n`,
      );
      await visit(
        entry,
        repeat(40, () => chunkedBody(head, 128 * 1024, 1)),
      );
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'outlives requests sent ahead without the usual headers, their answers unread',
    async () => {
      const request = `GET /jobs HTTP/1.0\r\nConnection: keep-alive\r\nAuthorization: Bearer ${key}\r\n\r\n`;
      await visit(
        entry,
        repeat(60, () => requestsAhead(request, 5000)),
      );
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'outlives more connections than it may have',
    async () => {
      await visit(
        entry,
        repeat(500, () => ['GET /jobs HTTP/1.1\r\nHost: ']),
      );
    },
    TEST_TIMEOUT_MS,
  );
});
