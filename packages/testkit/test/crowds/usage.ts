/** Memory and descriptors of a process, as the operating system reports them. */
import {readdirSync, readFileSync} from 'node:fs';

const BYTES_PER_KIB = 1024;

/** Largest resident memory of the process so far. */
export function getPeakBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1]) * BYTES_PER_KIB;
}

/** Clock ticks of processor time that the process has used. */
export function getProcessorTicks(pid: number): number {
  // The command name is in parentheses and may contain spaces.
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return Number(fields[11]) + Number(fields[12]);
}

export function countDescriptors(pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length;
}
