export {EXIT_USAGE_ERROR, SettingsError} from './error.js';
export {
  parseSettings,
  SETTING_NAMES,
  type Settings,
  type ProcessContext,
} from './parse.js';
export {formatSettingsTable} from './page.js';
export {
  toFlagName,
  isEndpoint,
  toVariableName,
  type SettingName,
} from './table.js';
