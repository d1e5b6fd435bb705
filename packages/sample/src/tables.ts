/** Sample tables that embedded mode uses by default, read from YAML files. */
import {
  tableEditSchema,
  type ObservedHost,
  type TableEdit,
} from '@lentildrift/model';
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {parse} from 'yaml';

/**
 * Files of the sample tables, in an order in which they can be applied one by
 * one.
 */
export const SAMPLE_TABLE_FILES: readonly string[] = ['pools', 'routes'].map(
  name => fileURLToPath(new URL(`../../tables/${name}.yaml`, import.meta.url)),
);

export function sampleTables(): TableEdit {
  const sections = SAMPLE_TABLE_FILES.map(
    file => parse(readFileSync(file, 'utf8')) as object,
  );
  return tableEditSchema.parse(Object.assign({basedOn: 0}, ...sections));
}

const GIB_IN_MIB = 1024;

/**
 * Hosts of the sample pools table: one for the upstream, and two racks of
 * workers.
 */
export const SAMPLE_HOSTS: readonly Omit<ObservedHost, 'healthy'>[] = [
  sampleHost('sample-1', 'rack-1'),
  sampleHost('worker-1', 'rack-2'),
  sampleHost('worker-2', 'rack-2'),
  sampleHost('worker-3', 'rack-3'),
  sampleHost('worker-4', 'rack-3'),
];

function sampleHost(id: string, rack: string): Omit<ObservedHost, 'healthy'> {
  return {
    id,
    dataCentre: 'dc-1',
    rack,
    cores: 4,
    memoryMiB: 4 * GIB_IN_MIB,
    accelerators: 0,
  };
}
