/** The subcommands: usage, help, options and implementation of each. */
import type {CommandContext} from './context.js';
import * as evacuations from './evacuations.js';
import * as fleet from './fleet.js';
import * as keys from './keys.js';
import * as jobs from './jobs.js';

/** An option that has a value. */
export interface OptionSpec {
  readonly name: string;
  readonly help: string;
}

/** One subcommand. */
export interface CommandSpec {
  /** Command words, then `<arguments>`, all of which are required. */
  readonly usage: string;
  readonly help: string;
  readonly options?: readonly OptionSpec[];
  /** Whether more arguments may follow those in `usage`. */
  readonly isVariadic?: boolean;
  run(context: CommandContext, args: readonly string[]): Promise<void>;
}

const basedOnOption = {
  name: 'based-on',
  help: 'Version of the tables that the file is based on (default: the current one)',
};
const hostsOption = {name: 'hosts', help: 'Host names, separated by commas'};
const deadlineOption = {
  name: 'deadline',
  help: 'End of the wave as an ISO time, such as 2030-01-31T06:00:00Z',
};
const withinHoursOption = {
  name: 'within-hours',
  help: 'End of the wave, from now',
};
const givenOption = {
  name: 'given',
  help: 'ID:HASH of a key whose text was printed before; for resends',
};

/** Options of every subcommand. */
export const COMMON_OPTIONS: readonly OptionSpec[] = [
  {
    name: 'server',
    help: 'Control processes, IP:PORT, separated by commas (LENTILDRIFT_SERVER; default 127.0.0.1:8481)',
  },
  {
    name: 'entry',
    help: 'Entry hosts, for jobs, submit and cancel (LENTILDRIFT_ENTRY; default 127.0.0.1:8480)',
  },
  {
    name: 'links',
    help: 'Link addresses of control processes of the job queues, for evacuation (LENTILDRIFT_LINKS)',
  },
  {name: 'key', help: 'Key; LENTILDRIFT_KEY or --key-file show less'},
  {name: 'key-file', help: 'File that holds the key'},
  {name: 'request-id', help: 'Request ID; a resend carries the first one'},
  {name: 'timeout-ms', help: 'Longest wait for an answer (default 5000)'},
];

export const COMMANDS: readonly CommandSpec[] = [
  {
    usage: 'apply <file>',
    help: 'Replace the sections teams, routes and pools that a YAML or JSON file holds',
    options: [basedOnOption],
    run: fleet.applyFile,
  },
  {
    usage: 'diff <file>',
    help: 'Show the changes that apply would make',
    run: fleet.diffFile,
  },
  {
    usage: 'get <topic>',
    help: 'Print tables, keys, hosts, jobs, waves, upstreams, limits, status or report as JSON',
    run: fleet.printTopic,
  },
  {
    usage: 'keys give <kind> <name>',
    help: 'Give a key to a team, a pool or an operator and print its text once',
    options: [givenOption],
    run: keys.issueKey,
  },
  {usage: 'keys withdraw <id>', help: 'Withdraw a key', run: keys.withdrawKey},
  {usage: 'keys list', help: 'List the keys', run: keys.listKeys},
  {
    usage: 'keys new',
    help: 'Make a key and its hash for --operator-key-hash, without a server',
    run: keys.printNewKey,
  },
  {usage: 'hosts', help: 'List the hosts', run: fleet.listHosts},
  {
    usage: 'drain <host>',
    help: 'Take a host out of service within the budget of its pool',
    run: fleet.drainHost,
  },
  {
    usage: 'undrain <host>',
    help: 'Give a host back to service',
    run: fleet.undrainHost,
  },
  {
    usage: 'retire <host>',
    help: 'Remove a drained or failed host',
    run: fleet.retireHost,
  },
  {
    usage: 'release <host>',
    help: 'End the quarantine of a worker',
    run: fleet.releaseHost,
  },
  {
    usage: 'wave open <wave>',
    help: 'Open a maintenance wave of the given hosts, or of all that are due',
    options: [hostsOption, deadlineOption, withinHoursOption],
    run: fleet.openWave,
  },
  {
    usage: 'wave pause <wave>',
    help: 'Start no further host of a wave',
    run: fleet.pauseWave,
  },
  {
    usage: 'wave resume <wave>',
    help: 'Go on with a paused wave',
    run: fleet.resumeWave,
  },
  {
    usage: 'wave withdraw <wave>',
    help: 'End a wave early',
    run: fleet.withdrawWave,
  },
  {
    usage: 'evacuation start <dataCentre>',
    help: 'Give no new runs of the job queues to a data centre',
    run: evacuations.startEvacuation,
  },
  {
    usage: 'evacuation end <dataCentre>',
    help: 'Put an evacuated data centre back into use',
    run: evacuations.endEvacuation,
  },
  {
    usage: 'evacuation list',
    help: 'List the evacuated data centres and what still runs there',
    run: evacuations.listEvacuations,
  },
  {
    usage: 'jobs',
    help: "List the jobs of the key's team",
    run: jobs.listJobs,
  },
  {
    usage: 'submit <file>',
    help: 'Submit the jobs of a YAML or JSON file; a known job ID is left as it is',
    run: jobs.submitJobs,
  },
  {
    usage: 'cancel <id>',
    help: 'Cancel jobs',
    isVariadic: true,
    run: jobs.cancelJobs,
  },
  {
    usage: 'status',
    help: 'Show the control process that answers, and its group',
    run: fleet.printStatus,
  },
  {
    usage: 'report',
    help: 'Show the service-level burn report',
    run: fleet.printReport,
  },
];
