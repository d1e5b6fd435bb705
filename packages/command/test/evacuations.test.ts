/** Tests the subcommands for evacuations against a real control group. */
import {runProgram} from '@lentildrift/command';
import {
  Adviser,
  HostProvider,
  initialVotersFor,
  startQueueControl,
  WorkerDriver,
  type ProvidedHost,
  type QueueControl,
} from '@lentildrift/dispatch';
import {createLog, createMetrics} from '@lentildrift/observe';
import {MemoryDisk, MemoryStore} from '@lentildrift/storage';
import {startTasks} from '@lentildrift/task';
import {createServer} from 'node:net';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

/** Two hosts, of which no worker has announced itself. */
class TwoHosts extends HostProvider {
  override async list(): Promise<ProvidedHost[]> {
    const capacity = {cpuMillis: 1000, memoryMb: 1000, gpus: 0};
    const rest = {pool: 'p', state: 'up' as const, worker: ''};
    return ['a', 'b'].map(dataCentre => ({
      id: `m-${dataCentre}`,
      dataCentre,
      capacity,
      labels: [],
      ...rest,
    }));
  }

  override async move(): Promise<never> {
    throw new Error('no moves');
  }

  override async maintain(): Promise<never> {
    throw new Error('no maintenance');
  }
}

class NoWorkers extends WorkerDriver {
  override hold = () => this.fail();
  override start = () => this.fail();
  override stop = () => this.fail();
  override pace = () => this.fail();
  override forget(): void {}

  private async fail(): Promise<never> {
    throw new Error('no workers');
  }
}

class NoAdviser extends Adviser {
  override readonly maxWorkersPerCall = 1;

  override async advise(): Promise<never> {
    throw new Error('no advice');
  }
}

/** Number of control processes. */
const MEMBERS = 3;

let controls: QueueControl[];
/** Link addresses of the control processes. */
let addresses: string[];

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(done => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as {port: number};
  await new Promise(done => server.close(done));
  return port;
}

/** What each control process has stored, by address. */
const disks = new Map<string, MemoryDisk>();

function startControl(address: string): Promise<QueueControl> {
  const known = disks.get(address);
  const disk = known ?? new MemoryDisk();
  disks.set(address, disk);
  return startQueueControl({
    member: `${address}/first`,
    store: new MemoryStore(disk),
    seeds: () => addresses,
    initialVoters: known ? [] : initialVotersFor(addresses),
    toleratedDiskLosses: 1,
    driver: new NoWorkers(),
    dataCentre: 'a',
    hosts: new TwoHosts(),
    adviser: new NoAdviser(),
    tasks: startTasks(() => {}),
    log: createLog('error', {}, () => {}),
    metrics: createMetrics(),
    holder: address,
    onFatal: error => {
      throw error;
    },
  });
}

beforeAll(async () => {
  addresses = [];
  while (addresses.length < MEMBERS) {
    const address = `127.0.0.1:${await freePort()}`;
    if (!addresses.includes(address)) addresses.push(address);
  }
  controls = await Promise.all(addresses.map(startControl));
});

afterAll(() => Promise.all(controls.map(control => control.stop())));

async function run(args: string, links = addresses.join(',')) {
  let out = '';
  let error = '';
  const code = await runProgram(args.split(' '), {
    env: links === '' ? {} : {LENTILDRIFT_LINKS: links},
    readFile: () => '',
    write: text => (out += text),
    writeError: text => (error += text),
  });
  return {code, out, error};
}

describe('the command for evacuations', () => {
  it('evacuates a data centre, lists it and takes the order back, without a key', async () => {
    const started = await run('evacuation start a --timeout-ms 15000');
    expect(started).toMatchObject({code: 0, error: ''});
    expect(started.out).toContain('a gets no new runs');
    const listed = await run('evacuation list');
    expect(listed.out).toMatch(/DATA CENTRE +WORKERS +RUNS\na +0 +0\n/);
    const json = await run('evacuation list --json');
    expect(JSON.parse(json.out)).toEqual([{name: 'a', workers: 0, runs: 0}]);
    const ended = await run('evacuation end a --json');
    expect(JSON.parse(ended.out)).toEqual({dataCentre: 'a', evacuated: false});
    const empty = await run('evacuation list');
    expect(empty.out).toBe('no data centre is evacuated\n');
  });

  it('refuses an unknown data centre with exit code 1, and changes nothing', async () => {
    const {code, error} = await run('evacuation start nowhere');
    expect(code).toBe(1);
    expect(error).toContain('no worker or host is in nowhere');
    expect((await run('evacuation end nowhere')).code).toBe(0);
    const empty = await run('evacuation list');
    expect(empty.out).toBe('no data centre is evacuated\n');
  });

  // An evacuation that was acknowledged must not be lost with the processes.
  it('finds an evacuation after all processes have restarted from their logs', async () => {
    const started = await run('evacuation start b --timeout-ms 15000');
    expect(started.code).toBe(0);
    await Promise.all(controls.map(control => control.stop()));
    controls = await Promise.all(addresses.map(startControl));
    const listed = await run('evacuation list --json --timeout-ms 15000');
    expect(JSON.parse(listed.out)).toMatchObject([{name: 'b'}]);
    expect((await run('evacuation end b')).code).toBe(0);
  });

  it('tells wrong usage from a system that does not answer', async () => {
    const missing = await run('evacuation start a', '');
    expect(missing).toMatchObject({code: 2, out: ''});
    expect(missing.error).toContain('--links or LENTILDRIFT_LINKS');
    const unreachable = `127.0.0.1:${await freePort()}`;
    const silent = await run('evacuation list --timeout-ms 400', unreachable);
    expect(silent).toMatchObject({code: 1, out: ''});
    expect(silent.error).toContain('no leader answered in time');
  });
});
