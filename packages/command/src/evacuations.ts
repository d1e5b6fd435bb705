/** Subcommands that put data centres of the job queues out of use. */
import {formatColumns} from '@lentildrift/observe';
import type {CommandContext} from './context.js';
import {withQueueClient} from './queue-client.js';

async function order(
  context: CommandContext,
  dataCentre: string,
  evacuated: boolean,
): Promise<void> {
  const type = evacuated ? 'evacuate' : 'end-evacuation';
  await withQueueClient(context, client =>
    client.send(context.requestId, {type, dataCentre}, 'done'),
  );
  const text = evacuated
    ? `${dataCentre} gets no new runs; those in progress go on to their ends`
    : `${dataCentre} is in use`;
  context.print({dataCentre, evacuated}, `${text}\n`);
}

export function startEvacuation(
  context: CommandContext,
  [dataCentre]: readonly string[],
): Promise<void> {
  return order(context, dataCentre!, true);
}

export function endEvacuation(
  context: CommandContext,
  [dataCentre]: readonly string[],
): Promise<void> {
  return order(context, dataCentre!, false);
}

export async function listEvacuations(context: CommandContext): Promise<void> {
  const {dataCentres} = await withQueueClient(context, client =>
    client.send(context.requestId, {type: 'evacuations'}, 'evacuations'),
  );
  const rows = dataCentres.map(({name, workers, runs}) => [
    name,
    String(workers),
    String(runs),
  ]);
  const head = ['DATA CENTRE', 'WORKERS', 'RUNS'];
  context.print(
    dataCentres,
    rows.length === 0
      ? 'no data centre is evacuated\n'
      : formatColumns([head, ...rows]),
  );
}
