/** The settings as a table for docs/settings.md. */
import {SETTING_NAMES} from './parse.js';
import {toFlagName, SETTINGS, toVariableName} from './table.js';

/** One row for each setting; a test compares it with the page. */
export function formatSettingsTable(): string {
  const rows = SETTING_NAMES.map(name => {
    const {defaultText: fallback, range, help} = SETTINGS[name];
    const shown = fallback === undefined ? 'none' : `\`${fallback}\``;
    return `| \`--${toFlagName(name)}\` | \`${toVariableName(name)}\` | ${shown} | ${range} | ${help} |`;
  });
  return [
    '| Flag | Variable | Default | Allowed | Meaning |',
    '|---|---|---|---|---|',
    ...rows,
  ].join('\n');
}
