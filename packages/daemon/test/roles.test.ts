import {createIntake} from '@lentildrift/intake-limits';
import {runProgram} from '@lentildrift/command';
import {
  startControl,
  startEntryRole,
  type ControlSettings,
} from '@lentildrift/daemon';
import {createKey, type Command} from '@lentildrift/model';
import {createLog} from '@lentildrift/observe';
import {createServiceClient} from '@lentildrift/protocol';
import {
  FakePlatform,
  SAMPLE_HOSTS,
  sampleTables,
  startPlatformServer,
} from '@lentildrift/sample';
import {startTasks} from '@lentildrift/task';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync} from 'node:fs';
import {mkdtemp} from 'node:fs/promises';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {describe, expect, it} from 'vitest';

const MAIN = fileURLToPath(new URL('../dist/src/main.js', import.meta.url));
const SECRET = 'cluster-secret-of-test';
const LOOPBACK = '127.0.0.1';

const SILENT_LOG = createLog('error', {}, () => undefined);
const intake = createIntake({
  listeners: 'http',
  limits: {budgetBytes: 64 * 1024 * 1024, maxConnections: 1000},
  log: SILENT_LOG,
});

function onFatal(error: Error): void {
  throw error;
}

/** Creates settings for a member with a new data folder, on any free port. */
async function createControlSettings(name: string): Promise<ControlSettings> {
  return {
    hostName: name,
    memberId: undefined,
    controlAddress: LOOPBACK,
    controlPort: 0,
    controlMembers: undefined,
    clusterSecret: SECRET,
    operatorKeyHash: undefined,
    dataFolder: await mkdtemp(join(tmpdir(), 'lentildrift-')),
  };
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(done => server.listen(0, LOOPBACK, done));
  const {port} = server.address() as AddressInfo;
  await new Promise(done => server.close(done));
  return port;
}

describe('the roles', () => {
  it('let an entry host follow remote control, with keys created over tRPC', async () => {
    const lines: string[] = [];
    const log = createLog('info', {}, line => lines.push(line));
    const tasks = startTasks(() => undefined);
    const operator = createKey();
    const control = await startControl(
      {...(await createControlSettings('c1')), operatorKeyHash: operator},
      {tasks, log, intake, onFatal},
    );
    const address = `${LOOPBACK}:${control.port}`;
    const entry = await startEntryRole(
      {
        hostName: 'e1',
        entryAddress: LOOPBACK,
        entryPort: 0,
        // No process listens at the address of the first member.
        controlMembers: [
          {id: 'c0', address: `${LOOPBACK}:1`},
          {id: 'c1', address},
        ],
        clusterSecret: SECRET,
      },
      {tasks, log, intake, onFatal},
    );
    const client = createServiceClient({address, timeoutMs: 2000});
    const team = createKey();
    const commands: Command[] = [
      {type: 'edit', edit: sampleTables()},
      {
        type: 'give-key',
        keyId: team.id,
        subject: {kind: 'team', team: 'juniors'},
        secretHash: team.secretHash,
      },
    ];
    await expect
      .poll(() => lines.join('\n'), {timeout: 5000})
      .toContain('event=operator-key');
    for (const [index, command] of commands.entries()) {
      const requestId = `r${index}`;
      const key = operator.text;
      const answer = await client.control.command({key, requestId, command});
      expect(answer.ok).toBe(true);
    }
    const callForCode = async () => {
      const response = await fetch(
        `http://${LOOPBACK}:${entry.port}/call/lanes/`,
        {headers: {authorization: `Bearer ${team.text}`}},
      );
      return ((await response.json()) as {code: string}).code;
    };
    // The entry host gets the key with its next sync. No upstream has announced
    // itself, so the call is refused.
    await expect.poll(callForCode, {timeout: 5000}).toBe('no-upstream');
    // The refused calls show as an exceeded error budget in the operators'
    // burn report.
    const runReport = async () => {
      let text = '';
      const code = await runProgram(['report'], {
        env: {LENTILDRIFT_KEY: operator.text, LENTILDRIFT_SERVER: address},
        readFile: () => '',
        write: shown => (text += shown),
        writeError: shown => (text += shown),
      });
      return `${code} ${text}`;
    };
    await expect
      .poll(runReport, {timeout: 10_000, interval: 500})
      .toMatch(/^0 ROUTE[^]*\nlanes +juniors +0\.\d+ +-[\d.]+ of /);
    await client.close();
    await entry.stop();
    await control.stop();
    tasks.stop();
  });

  it('observe the hosts of the platform at the configured address', async () => {
    const platform = new FakePlatform({
      hosts: SAMPLE_HOSTS,
      now: () => performance.now(),
    });
    const server = await startPlatformServer(platform);
    const tasks = startTasks(() => undefined);
    const settings = await createControlSettings('c1');
    const platformAddress = new URL(server.url).host;
    const control = await startControl(
      {...settings, platformAddress},
      {tasks, log: SILENT_LOG, intake, onFatal},
    );
    const {replica} = control;
    await expect
      .poll(() => replica.status().role, {timeout: 8000})
      .toBe('leader');
    const command = {type: 'edit' as const, edit: sampleTables()};
    const body = {type: 'command' as const, requestId: 'edit', command};
    await replica.propose({atMs: Date.now(), body});
    await expect
      .poll(() => replica.state().hosts['worker-1']?.phase, {timeout: 5000})
      .toBe('serving');
    await control.stop();
    await server.stop();
    tasks.stop();
  }, 20_000);

  it('leave a member a learner while its group has not been founded', async () => {
    const tasks = startTasks(() => undefined);
    const control = await startControl(
      {
        ...(await createControlSettings('c1')),
        // The other member never answers, so the group is not founded.
        controlMembers: [
          {id: 'c1', address: `${LOOPBACK}:2`},
          {id: 'c2', address: `${LOOPBACK}:1`},
        ],
      },
      {tasks, log: SILENT_LOG, intake, onFatal},
    );
    await sleep(1500);
    expect(control.replica.status()).toMatchObject({
      role: 'learner',
      voters: [],
    });
    await control.stop();
    tasks.stop();
  });

  it('found one group, and readmit a member that lost its disk', async () => {
    const ports = await Promise.all([
      findFreePort(),
      findFreePort(),
      findFreePort(),
    ]);
    const members = ports.map((port, index) => ({
      id: `c${index + 1}`,
      address: `${LOOPBACK}:${port}`,
    }));
    const startMember = async (index: number) => {
      const tasks = startTasks(() => undefined);
      const settings = await createControlSettings(members[index]!.id);
      return startControl(
        {...settings, controlPort: ports[index]!, controlMembers: members},
        {tasks, log: SILENT_LOG, intake, onFatal},
      );
    };
    const roles = await Promise.all([
      startMember(0),
      startMember(1),
      startMember(2),
    ]);
    const findLeaders = () =>
      roles.filter(({replica}) => replica.status().role === 'leader');
    await expect.poll(() => findLeaders().length, {timeout: 10_000}).toBe(1);
    const before = findLeaders()[0]!.replica.status().voters;
    expect(before).toHaveLength(3);

    // `startMember` creates a new data folder, as after the loss of a disk.
    const lost = roles.findIndex(role => role !== findLeaders()[0]);
    await roles[lost]!.stop();
    roles[lost] = await startMember(lost);
    const {member} = roles[lost]!.replica.status();
    const kept = before.filter(id => !id.startsWith(`c${lost + 1}~`));
    await expect
      .poll(() => findLeaders()[0]?.replica.status().voters, {timeout: 15_000})
      .toEqual(expect.arrayContaining([...kept, member]));
    await expect
      .poll(() => findLeaders()[0]?.replica.status().voters, {timeout: 15_000})
      .toHaveLength(3);
    expect(before).not.toContain(member);
    for (const role of roles) await role.stop();
  });
});

function startDaemon(args: string[]) {
  const folder = mkdtempSync(join(tmpdir(), 'lentildrift-'));
  const all = [`--data-folder=${folder}`, ...args];
  const child = spawn(process.execPath, [MAIN, ...all], {
    env: {PATH: process.env['PATH']},
  });
  const output = {out: '', err: ''};
  child.stdout.on('data', chunk => (output.out += chunk));
  child.stderr.on('data', chunk => (output.err += chunk));
  const exit = once(child, 'close') as Promise<[number | null]>;
  return {child, output, exit};
}

describe('the daemon process', () => {
  it('exits with code 2 and one line for a wrong setting', async () => {
    const {output, exit} = startDaemon(['--embedded', '--entry-port=70000']);
    expect((await exit)[0]).toBe(2);
    expect(output.err).toBe(
      'lentildriftd: --entry-port "70000" must be 0 to 65535 (0 takes any free port)\n',
    );
  });

  it('exits with code 0 after one signal', async () => {
    const args = ['--embedded', '--entry-port=0', '--control-port=0'];
    const {child, output, exit} = startDaemon(args);
    await expect.poll(() => output.out, {timeout: 10_000}).toContain('ready');
    child.kill('SIGTERM');
    expect((await exit)[0]).toBe(0);
    expect(output.err).toContain('event=stopped');
  });

  it('exits immediately with code 1 after a second signal', async () => {
    // The entry role waits for a control process that accepts connections but
    // never answers.
    const silentServer = createServer(() => undefined);
    await new Promise<void>(done => silentServer.listen(0, LOOPBACK, done));
    const {port} = silentServer.address() as AddressInfo;
    const {child, output, exit} = startDaemon([
      '--roles=entry',
      `--control-members=c1=${LOOPBACK}:${port}`,
      `--cluster-secret=${SECRET}`,
      '--entry-port=0',
      '--log-level=debug',
    ]);
    await once(silentServer, 'connection');
    child.kill('SIGTERM');
    await expect.poll(() => output.err, {timeout: 5000}).toContain('stopping');
    child.kill('SIGINT');
    expect((await exit)[0]).toBe(1);
    expect(output.err).toContain('event=stopped-at-once');
    silentServer.close();
  });

  it('exits with code 1 and one line when its port is in use', async () => {
    const other = createServer();
    await new Promise<void>(done => other.listen(0, LOOPBACK, done));
    const {port} = other.address() as AddressInfo;
    for (const flag of ['entry-port', 'control-port']) {
      const ports = ['--entry-port=0', '--control-port=0'].filter(
        one => !one.includes(flag),
      );
      const {output, exit} = startDaemon([
        '--embedded',
        `--${flag}=${port}`,
        '--log-level=error',
        ...ports,
      ]);
      expect((await exit)[0]).toBe(1);
      expect(output.err).toContain('EADDRINUSE');
      expect(output.err.trimEnd()).not.toContain('\n');
    }
    other.close();
  });
});
