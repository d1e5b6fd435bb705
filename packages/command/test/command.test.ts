import {runProgram} from '@lentildrift/command';
import {EMPTY_STATE, verifyKey, type State} from '@lentildrift/model';
import {apply, type Answer, type Command} from '@lentildrift/model';
import {
  ControlService,
  createServiceServer,
  PeerService,
  ServiceError,
  type CommandRequest,
  type ReadRequest,
} from '@lentildrift/protocol';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {json} from 'node:stream/consumers';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

const TABLES = `
teams: [{name: juniors, share: 1, limit: 8}]
pools: [{name: booking, kind: calls, hosts: [h1]}]
routes: [{name: lanes, pool: booking, service: booking}]
`;
const TIMEOUT_MS = 300;

/** Control process that applies commands to its own state; can lose answers. */
class FakeControl {
  state: State = EMPTY_STATE;
  readonly requestIds: string[] = [];
  /**
   * How many of the next answers are lost: the command runs, but the caller
   * gets no answer.
   */
  answersToLose = 0;

  command = async (request: CommandRequest): Promise<Answer> => {
    this.check(request.key);
    this.requestIds.push(request.requestId);
    const answer = this.run(request.requestId, request.command);
    if (this.answersToLose > 0) {
      this.answersToLose--;
      await new Promise(resolve => setTimeout(resolve, 2 * TIMEOUT_MS));
    }
    return answer;
  };

  read = async ({key, topic}: ReadRequest) => {
    this.check(key);
    const bodies: Record<string, unknown> = {
      tables: this.state.tables,
      keys: Object.values(this.state.keys),
      hosts: Object.values(this.state.hosts),
      status: {role: 'leader', term: 3},
      report: {},
    };
    return {revision: this.state.revision, body: bodies[topic]};
  };

  private check(key: string): void {
    if (key === 'operator') return;
    throw new ServiceError('unauthorised', 'not the key of an operator');
  }

  private run(requestId: string, command: Command): Answer {
    const body = {type: 'command' as const, requestId, command};
    const {state, answer} = apply(this.state, {atMs: 1, body});
    this.state = state;
    return answer;
  }
}

let control: FakeControl;
let servers: Server[];
let server: string;

/** Starts `listener` on any free port and returns its address. */
async function listen(listener: Server): Promise<string> {
  servers.push(listener);
  await new Promise<void>(done => listener.listen(0, '127.0.0.1', done));
  return `127.0.0.1:${(listener.address() as AddressInfo).port}`;
}

beforeEach(async () => {
  control = new FakeControl();
  servers = [];
  server = await listen(
    createServiceServer(
      control as unknown as ControlService,
      {} as PeerService,
      'cluster-secret-of-test',
    ),
  );
});

afterEach(async () => {
  for (const one of servers) {
    one.closeAllConnections();
    await new Promise(done => one.close(done));
  }
});

async function runCommand(
  args: string,
  env: Record<string, string> = {},
  files: Record<string, string> = {'t.yaml': TABLES},
) {
  let out = '';
  let error = '';
  const code = await runProgram(args.split(' '), {
    env: {LENTILDRIFT_KEY: 'operator', LENTILDRIFT_SERVER: server, ...env},
    readFile(path) {
      if (Object.hasOwn(files, path)) return files[path]!;
      throw Object.assign(new Error('missing'), {code: 'ENOENT'});
    },
    write: text => (out += text),
    writeError: text => (error += text),
  });
  return {code, out, error};
}

describe('the command', () => {
  it('applies a file, after which diff shows no differences', async () => {
    const diffBefore = await runCommand('diff t.yaml');
    expect(diffBefore.out).toContain('+ pools booking\n');
    expect(control.state.tables.version).toBe(0);
    expect(await runCommand('apply t.yaml')).toEqual({
      code: 0,
      out: 'tables are at version 1\n',
      error: '',
    });
    expect((await runCommand('diff t.yaml')).out).toBe('no differences\n');
    const changed = {'t.yaml': TABLES.replace('limit: 8', 'limit: 9')};
    expect((await runCommand('diff t.yaml', {}, changed)).out).toBe(
      '~ teams juniors: limit 8 -> 9\n',
    );
  });

  it('sends no command when the file contradicts itself', async () => {
    const files = {'t.yaml': TABLES.replace('pool: booking', 'pool: none')};
    const {code, error} = await runCommand('apply t.yaml', {}, files);
    expect(code).toBe(1);
    expect(error).toBe(
      'lentildrift: t.yaml:4:24: routes[0].pool: unknown pool "none"\n',
    );
    expect(control.requestIds).toEqual([]);
  });

  it('fails when the file is based on an outdated version', async () => {
    await runCommand('apply t.yaml');
    const {code, error} = await runCommand('apply t.yaml --based-on 0');
    expect(code).toBe(1);
    expect(error).toMatch(/refused \(conflict\): .* current version is 1/);
  });

  it('retries with the same request ID after a lost answer, so that the edit is applied once', async () => {
    control.answersToLose = 1;
    const args = `apply t.yaml --request-id r1 --timeout-ms ${TIMEOUT_MS}`;
    expect(await runCommand(args)).toMatchObject({code: 0, error: ''});
    expect(control.requestIds).toEqual(['r1', 'r1']);
    expect(control.state.tables.version).toBe(1);
  });

  it('exits with code 3 if every answer is lost, and a resend creates no second key', async () => {
    await runCommand('apply t.yaml');
    control.answersToLose = 4;
    const lost = await runCommand(
      `keys give team juniors --timeout-ms ${TIMEOUT_MS}`,
    );
    expect(lost.code).toBe(3);
    const line = /resend with: lentildrift (.*)\n$/.exec(lost.error)![1]!;
    expect(line).not.toContain('operator');
    const again = await runCommand(line);
    expect(again.code).toBe(0);
    const {keys} = control.state;
    expect(Object.keys(keys)).toHaveLength(1);
    expect(again.out).toBe(`key ${Object.keys(keys)[0]} is in force\n`);
    expect(verifyKey(lost.out.trim(), keys)).toEqual({
      kind: 'team',
      team: 'juniors',
    });
  });

  it('tries the next server when one does not answer', async () => {
    const closedServer = createServer();
    const address = await listen(closedServer);
    await new Promise(done => closedServer.close(done));
    servers = servers.filter(one => one !== closedServer);
    const {code} = await runCommand(
      `apply t.yaml --server ${address},${server}`,
    );
    expect(code).toBe(0);
    const onlyClosed = await runCommand(`apply t.yaml --server ${address}`);
    expect(onlyClosed.code).toBe(1);
    expect(onlyClosed.error).toContain('does not answer');
  });

  it.each([
    ['drain none', 1, /refused \(unknown\): unknown host "none"/],
    ['drain Bad_Host', 2, /host: must be 1 to 63 characters/],
    ['status --key wrong', 1, /not the key of an operator/],
    ['status --key wrong --key-file k', 2, /exclude each other/],
    ['status --server localhost:1', 2, /--server .* must be IP:PORT/],
    ['status --timeout-ms 0', 2, /--timeout-ms must be 1 to 60000/],
    ['apply none.yaml', 2, /none.yaml: cannot be read: ENOENT/],
    ['apply t.yaml --based-on x', 2, /--based-on must be/],
    ['apply', 2, /missing <file>/],
    ['apply a b', 2, /unexpected argument "b"/],
    ['apply t.yaml --force', 2, /unknown flag --force/],
    ['apply t.yaml --request-id', 2, /--request-id needs a value/],
    ['keys bogus', 2, /unknown command "keys bogus"/],
    ['keys give nobody x', 2, /keys give team\|pool\|operator/],
    ['wave open w', 2, /one of --deadline and --within-hours/],
    ['wave open w --within-hours 0', 2, /--within-hours must be/],
    ['get nothing', 2, /unknown topic "nothing"/],
  ])('reports "%s" with exit code %i and a one-line error', async (...row) => {
    const [args, code, message] = row;
    const result = await runCommand(args);
    expect(result).toMatchObject({code, out: ''});
    expect(result.error).toMatch(message);
    expect(result.error.trimEnd()).not.toContain('\n');
  });

  it('prints keys as JSON without their secret hash', async () => {
    await runCommand('apply t.yaml');
    await runCommand('keys give pool booking');
    const {out} = await runCommand('--json keys list');
    expect(JSON.parse(out)).toMatchObject([{subject: {pool: 'booking'}}]);
    expect(out).not.toContain('secretHash');
  });
});

describe('the job subcommands', () => {
  const file = {
    'j.yaml':
      'jobs: [{id: a, queue: q, declared: {cores: 1, memoryMiB: 1}, runTimeMs: 5}]',
  };

  async function startEntryHost(
    answer: (request: IncomingMessage) => Promise<[number, unknown] | 'drop'>,
  ) {
    return listen(
      createServer(async (request, response) => {
        const result = await answer(request);
        if (result === 'drop') return void request.socket.destroy();
        response.writeHead(result[0]).end(JSON.stringify(result[1]));
      }),
    );
  }

  it('send their requests with the key of the team', async () => {
    const seen: unknown[] = [];
    const address = await startEntryHost(async request => {
      const {method, url, headers} = request;
      const body = method === 'POST' ? await json(request) : undefined;
      seen.push([method, url, headers.authorization, body]);
      return [200, {jobs: []}];
    });
    const env = {LENTILDRIFT_ENTRY: address, LENTILDRIFT_KEY: 'team'};
    expect((await runCommand('submit j.yaml', env, file)).code).toBe(0);
    expect((await runCommand('cancel a b', env)).code).toBe(0);
    expect((await runCommand('jobs', env)).code).toBe(0);
    expect(seen).toMatchObject([
      ['POST', '/jobs', 'Bearer team', {jobs: [{id: 'a'}]}],
      ['DELETE', '/jobs?id=a&id=b', 'Bearer team', undefined],
      ['GET', '/jobs', 'Bearer team', undefined],
    ]);
  });

  it('distinguish a refusal from an unknown outcome', async () => {
    const refusal = {verdict: 'not-run', code: 'forbidden', message: 'no'};
    const refusing = await startEntryHost(async () => [403, refusal]);
    const refused = await runCommand(
      `submit j.yaml --entry ${refusing}`,
      {},
      file,
    );
    expect(refused).toMatchObject({code: 1});
    expect(refused.error).toContain('refused (forbidden: no)');
    const dropping = await startEntryHost(async () => 'drop');
    const lost = await runCommand(
      `submit j.yaml --entry ${dropping}`,
      {},
      file,
    );
    expect(lost.code).toBe(3);
    expect(lost.error).toContain('resend with: lentildrift submit j.yaml');
  });
});
