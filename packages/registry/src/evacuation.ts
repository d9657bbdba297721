/**
 * Evacuations of data centres: while one is in force, nothing more is sent to the servers of the data centre.
 *
 * Handles a data centre that operators empty while it is under load, for maintenance or before it fails, and take back later.
 */
import { RecordKind } from './registry-record.js';
import { type Registry } from './registry.js';

/** Names of the evacuated data centres; a registry is never modified, so that those of one stay valid. */
const evacuatedByRegistry = new WeakMap<Registry, ReadonlySet<string>>();

/**
 * Returns the data centres whose evacuation is in force, whether any server is registered there or not.
 *
 * @param registry - the registry
 * @returns their names
 */
export function evacuatedDataCentres(registry: Registry): ReadonlySet<string> {
  const known = evacuatedByRegistry.get(registry);
  if (known !== undefined) {
    return known;
  }
  const evacuated = new Set<string>();
  for (const record of registry.records.values()) {
    if (record.kind === RecordKind.Evacuation && record.value !== undefined) {
      evacuated.add(record.value.dataCentre);
    }
  }
  evacuatedByRegistry.set(registry, evacuated);
  return evacuated;
}

/** Data centres whose evacuation a change of the registry has begun or ended. */
export interface EvacuationsChanged {
  readonly begun: readonly string[];
  readonly ended: readonly string[];
}

/**
 * Compares the evacuations of two registries.
 *
 * @param after - the registry after a change
 * @param before - the registry before it
 * @returns the data centres that are evacuated in one of them only
 */
export function evacuationsChanged(after: Registry, before: Registry): EvacuationsChanged {
  const inForce = evacuatedDataCentres(after);
  const wereInForce = evacuatedDataCentres(before);
  return {
    begun: [...inForce].filter((dataCentre) => !wereInForce.has(dataCentre)),
    ended: [...wereInForce].filter((dataCentre) => !inForce.has(dataCentre)),
  };
}
