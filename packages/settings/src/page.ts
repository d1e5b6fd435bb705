/** The settings as a table for docs/settings.md. */
import {SETTING_NAMES} from './parse.js';
import {flagOf, SETTINGS, variableOf} from './table.js';

/** One row for each setting; a test compares it with the page. */
export function settingsTable(): string {
  const rows = SETTING_NAMES.map(name => {
    const {fallback, range, help} = SETTINGS[name];
    const shown = fallback === undefined ? 'none' : `\`${fallback}\``;
    return `| \`--${flagOf(name)}\` | \`${variableOf(name)}\` | ${shown} | ${range} | ${help} |`;
  });
  return [
    '| Flag | Variable | Default | Allowed | Meaning |',
    '|---|---|---|---|---|',
    ...rows,
  ].join('\n');
}
