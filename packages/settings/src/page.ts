/** Formats the settings as a Markdown table for docs/settings.md. */
import {SETTING_NAMES} from './parse.js';
import {toFlagName, SETTINGS, toVariableName} from './table.js';

/**
 * Formats one row for each setting. A test checks that docs/settings.md
 * contains this table.
 */
export function formatSettingsTable(): string {
  const rows = SETTING_NAMES.map(name => {
    const {defaultText, range, help} = SETTINGS[name];
    const shown = defaultText === undefined ? 'none' : `\`${defaultText}\``;
    return `| \`--${toFlagName(name)}\` | \`${toVariableName(name)}\` | ${shown} | ${range} | ${help} |`;
  });
  return [
    '| Flag | Variable | Default | Allowed | Meaning |',
    '|---|---|---|---|---|',
    ...rows,
  ].join('\n');
}
