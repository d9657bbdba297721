/**
 * Decides when an entry knows enough to serve requests: the catalogue and, where the deployment has them, the evacuations. Without
 * these, an entry that has just started could send requests to an evacuated data centre.
 */
import { type Clock } from '@toucanbend/core';
import { type RegistryHolder } from '@toucanbend/membership';
import { type Logger } from '@toucanbend/observability';
import { initialPosition, isAfter, RecordKind } from '@toucanbend/registry';

/** Whether an entry is configured. */
export interface ConfigurationGate {
  isConfigured(): boolean;
  /** Resolves when the entry is configured, or after `waitMs` milliseconds at the latest. */
  wait(waitMs: number): Promise<void>;
}

/** Dependencies and settings of a gate. */
export interface ConfigurationGateOptions {
  readonly holder: RegistryHolder;
  readonly clock: Clock;
  readonly logger: Logger;
  /**
   * Time within which an evacuation must be in force, in milliseconds; undefined if there are none. An entry that has not read
   * them for this long since its start, from the store or from another entry, serves without them: the store may reject only
   * this listing.
   */
  readonly maxEvacuationMs: number | undefined;
}

/**
 * Creates the gate of an entry that starts now.
 *
 * @param options - dependencies and settings
 * @returns the gate
 */
export function createConfigurationGate(options: ConfigurationGateOptions): ConfigurationGate {
  const { holder, clock, logger, maxEvacuationMs } = options;
  let servesWithoutEvacuations = maxEvacuationMs === undefined;
  let resolveConfigured = (): void => undefined;
  const configured = new Promise<void>((resolve) => {
    resolveConfigured = resolve;
  });
  const knowsEvacuations = (): boolean =>
    isAfter(holder.current().positions[RecordKind.Evacuation], initialPosition);
  const isConfigured = (): boolean =>
    holder.current().catalogue !== undefined && (servesWithoutEvacuations || knowsEvacuations());
  const resolveIfConfigured = (): void => {
    if (isConfigured()) {
      resolveConfigured();
    }
  };
  holder.onChange(resolveIfConfigured);
  if (maxEvacuationMs !== undefined) {
    clock.after(maxEvacuationMs, () => {
      servesWithoutEvacuations = true;
      if (!knowsEvacuations()) {
        logger.warn('evacuations unknown: serving without them', { waitedMs: maxEvacuationMs });
        resolveIfConfigured();
      }
    });
  }
  return {
    isConfigured,
    wait: (waitMs) =>
      isConfigured()
        ? Promise.resolve()
        : Promise.race([configured, new Promise<void>((resolve) => clock.after(waitMs, resolve))]),
  };
}
