import {parseSettings, formatSettingsTable} from '@lentildrift/settings';
import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';

const SECRET = 'a-secret-of-the-cluster';
const BASE = [
  '--roles=entry,control',
  '--control-members=host-1=10.0.0.1:8481,host-2=10.0.0.2:8481',
  `--cluster-secret=${SECRET}`,
];

function parse(
  args: string[],
  env: Record<string, string> = {},
  files: Record<string, string> = {},
) {
  return parseSettings(args, {
    env,
    readFile(path) {
      if (path in files) return files[path]!;
      throw Object.assign(new Error('missing'), {code: 'ENOENT'});
    },
  });
}

describe('settings', () => {
  it('come from flags first, then environment variables, then defaults', () => {
    const settings = parse([...BASE, '--entry-port', '9000'], {
      LENTILDRIFT_ENTRY_PORT: '9001',
      LENTILDRIFT_LOG_LEVEL: 'debug',
    });
    expect(settings).toMatchObject({
      embedded: false,
      entryPort: 9000,
      logLevel: 'debug',
      dataCentre: 'dc-1',
      controlMembers: [{id: 'host-1', address: '10.0.0.1:8481'}, {}],
    });
  });

  it('read the secret and key hash from files, and a flag beats a variable', () => {
    const env = {LENTILDRIFT_CLUSTER_SECRET: 'another-secret-of-the-cluster'};
    const hash = `${'a'.repeat(12)}:${'b'.repeat(64)}`;
    const settings = parse(
      [...BASE.slice(0, 2), '--cluster-secret-file=s', '--operator-key-file=k'],
      env,
      {s: `${SECRET}\n`, k: `${hash}\n`},
    );
    expect(settings?.clusterSecret).toBe(SECRET);
    expect(settings?.operatorKeyHash?.id).toBe('a'.repeat(12));
  });

  it.each([
    ['--nonsense=1', /^unknown flag --nonsense/],
    ['stray', /^unexpected argument "stray"/],
    ['--embedded=maybe', /unexpected argument "maybe"/],
    ['--roles=boss', /^--roles "boss" must be entry/],
    ['--roles=entry,entry', /^--roles/],
    ['--host-name=Big_Host', /^--host-name "Big_Host" must be 1 to 63/],
    ['--data-centre=', /^--data-centre "" must be 1 to 63/],
    ['--entry-address=localhost', /^--entry-address .* must be an IP/],
    ['--entry-port=65536', /^--entry-port "65536" must be 0 to 65535/],
    ['--entry-port=-1', /^--entry-port "-1" must be 0 to 65535/],
    ['--entry-port=0x10', /^--entry-port/],
    ['--control-address=10.0.0.256', /^--control-address/],
    ['--control-port=1.5', /^--control-port/],
    ['--member-id=_', /^--member-id/],
    ['--control-members=host-1', /^--control-members .* must be ID=IP:PORT/],
    ['--control-members=a=1.2.3.4:1,a=1.2.3.5:1', /^--control-members/],
    ['--control-members=a=1.2.3.4:0', /^--control-members/],
    ['--operator-key-hash=abc', /^--operator-key-hash "abc" must be 12 hex/],
    ['--data-folder=', /^--data-folder/],
    ['--log-level=loud', /^--log-level "loud" must be debug, info/],
    ['--platform-address=platform:80', /^--platform-address/],
    ['--weight-buffer-cost=1001', /^--weight-buffer-cost "1001" must be 0 to/],
    ['--weight-roll-out-time=-1', /^--weight-roll-out-time/],
    ['--weight-moves=x', /^--weight-moves/],
    ['--weight-share-nearness=', /^--weight-share-nearness/],
    ['--operator-key-file=none', /^--operator-key-file "none" .* ENOENT/],
  ])(
    'are rejected with a message that names the setting: %s',
    (flag, message) => {
      const name = flag.split('=')[0]!;
      const args = BASE.filter(arg => !arg.startsWith(`${name}=`));
      expect(() => parse([...args, flag])).toThrow(message);
    },
  );

  it('are rejected naming the wrong variable, without showing a secret', () => {
    const env = {LENTILDRIFT_CONTROL_PORT: 'many'};
    expect(() => parse(BASE, env)).toThrow(
      /^LENTILDRIFT_CONTROL_PORT "many" must be 0 to 65535/,
    );
    expect(() => parse(['--cluster-secret=short'])).toThrow(
      /^--cluster-secret must be 16 to 256/,
    );
  });

  it.each([
    [['--embedded', '--roles=entry'], /--embedded and --roles exclude/],
    [['--embedded', '--entry-address=10.0.0.1'], /must be 127.0.0.1/],
    [[], /--roles/],
    [BASE.slice(0, 1), /--control-members/],
    [BASE.slice(0, 2), /--cluster-secret-file/],
    [[...BASE, '--cluster-secret-file=s'], /exclude each other/],
    [[...BASE, '--member-id=host-9'], /must contain this process, "host-9"/],
    [[...BASE, '--control-port=8000'], /must be the port of member "host-1"/],
    [[...BASE, '--entry-port=8481'], /must differ/],
    [[...BASE, '--log-level=info', '--log-level=warn'], /more than once/],
    [
      [
        ...BASE,
        '--weight-buffer-cost=0',
        '--weight-roll-out-time=0',
        '--weight-moves=0',
        '--weight-share-nearness=0',
      ],
      /at least one of/,
    ],
  ])('are rejected if they contradict each other: %j', (args, message) => {
    expect(() => parse(args)).toThrow(message);
  });

  it('are all listed in docs/settings.md as they are defined', () => {
    const page = readFileSync('docs/settings.md', 'utf8');
    expect(page).toContain(formatSettingsTable());
  });
});
