export {EXIT_WRONG_USAGE, SettingsError} from './error.js';
export {
  parseSettings,
  SETTING_NAMES,
  type Settings,
  type Surroundings,
} from './parse.js';
export {settingsTable} from './page.js';
export {flagOf, isEndpoint, variableOf, type SettingName} from './table.js';
