/** Sample tables for the embedded default. */
import {
  poolSchema,
  routeSchema,
  teamSchema,
  type TableEdit,
} from '@lentildrift/model';

export function sampleTables(): TableEdit {
  return {
    basedOn: 0,
    teams: [teamSchema.parse({name: 'juniors', share: 1, limit: 64})],
    pools: [
      poolSchema.parse({
        name: 'booking',
        kind: 'calls',
        hosts: ['sample-1'],
      }),
    ],
    routes: [
      routeSchema.parse({name: 'lanes', pool: 'booking', service: 'booking'}),
    ],
  };
}
