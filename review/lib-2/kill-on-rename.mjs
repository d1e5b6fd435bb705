/**
 * Usage: node kill-on-rename.mjs FOLDER NAME PID. Sends SIGKILL to the process
 * right after the file NAME in FOLDER was replaced, then ends.
 */
import {watch} from 'node:fs';

const [folder, name, pid] = process.argv.slice(2);
watch(folder, (event, changed) => {
  if (event !== 'rename' || changed !== name) return;
  try {
    process.kill(Number(pid), 'SIGKILL');
  } catch {
    // The process has ended already.
  }
  process.exit(0);
});
process.on('disconnect', () => process.exit(0));
process.send?.('watching');
