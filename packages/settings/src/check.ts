/** Checks on combinations of settings. */
import {SettingsError} from './error.js';
import type {SettingSources} from './parse.js';
import type {SettingValues} from './table.js';

/** Throws `SettingsError` if settings contradict each other. */
export function checkCombinations(
  values: SettingValues,
  sources: SettingSources,
): void {
  checkWeights(values);
  if (values.embedded) {
    return checkEmbedded(values, sources);
  }
  if (!values.roles) {
    throw new SettingsError(
      '--roles (LENTILDRIFT_ROLES) must be entry, control or entry,control, or --embedded must be given',
    );
  }
  if (!values.controlMembers) {
    throw new SettingsError(
      '--control-members (LENTILDRIFT_CONTROL_MEMBERS) is needed unless --embedded is given',
    );
  }
  if (
    values.clusterSecret === undefined &&
    values.clusterSecretFile === undefined
  ) {
    throw new SettingsError(
      '--cluster-secret-file (LENTILDRIFT_CLUSTER_SECRET_FILE) is needed unless --embedded is given',
    );
  }
  if (values.roles.includes('control')) checkMember(values);
  checkPorts(values);
}

function checkEmbedded(values: SettingValues, sources: SettingSources): void {
  for (const name of ['roles', 'controlMembers', 'memberId'] as const) {
    if (values[name] !== undefined) {
      throw new SettingsError(
        `${sources.embedded} and ${sources[name]} exclude each other`,
      );
    }
  }
  for (const name of ['entryAddress', 'controlAddress'] as const) {
    if (values[name] !== '127.0.0.1' && values[name] !== '::1') {
      throw new SettingsError(
        `${sources[name]} must be 127.0.0.1 or ::1 with ${sources.embedded}`,
      );
    }
  }
  checkPorts(values);
}

function checkMember(values: SettingValues): void {
  const id = values.memberId ?? values.hostName;
  const member = values.controlMembers!.find(other => other.id === id);
  if (!member) {
    throw new SettingsError(
      `--control-members must contain this process, "${id}" (--member-id or --host-name)`,
    );
  }
  const port = Number(
    member.address.slice(member.address.lastIndexOf(':') + 1),
  );
  if (port !== values.controlPort) {
    throw new SettingsError(
      `--control-port ${values.controlPort} must be the port of member "${id}" in --control-members, ${port}`,
    );
  }
}

function checkPorts(values: SettingValues): void {
  const {entryAddress, entryPort, controlAddress, controlPort} = values;
  const hasBothRoles = values.embedded || values.roles?.length === 2;
  if (!hasBothRoles || entryPort === 0 || entryPort !== controlPort) return;
  const wildcards = ['0.0.0.0', '::'];
  const overlap =
    entryAddress === controlAddress ||
    wildcards.includes(entryAddress) ||
    wildcards.includes(controlAddress);
  if (overlap) {
    throw new SettingsError(
      `--entry-port and --control-port must differ; both are ${entryPort}`,
    );
  }
}

function checkWeights(values: SettingValues): void {
  const sum =
    values.weightBufferCost +
    values.weightRollOutTime +
    values.weightMoves +
    values.weightShareNearness;
  if (sum === 0) {
    throw new SettingsError(
      'at least one of --weight-buffer-cost, --weight-roll-out-time, --weight-moves and --weight-share-nearness must be above 0',
    );
  }
}
