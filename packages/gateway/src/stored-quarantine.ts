/** Writes quarantined causes to the store and removes them there. */
import { type Logger } from '@toucanbend/observability';
import { type QuarantineOptions } from '@toucanbend/quarantine';
import { type RegistrySource } from '@toucanbend/registry';

/** Dependencies of the stored quarantine. */
export interface StoredQuarantineOptions {
  readonly source: Pick<RegistrySource, 'quarantine' | 'endQuarantine'>;
  readonly logger: Logger;
  /** Whether this entry is one of those that change the store for all. */
  readonly isStoreReader: () => boolean;
}

/**
 * Creates the callbacks by which a quarantine changes the store. Failures are logged; the quarantine holds without the store.
 *
 * @param options - the store, the logger, and whether this entry removes causes
 * @returns the callbacks
 */
export function createStoredQuarantine(
  options: StoredQuarantineOptions,
): Pick<QuarantineOptions, 'publish' | 'withdraw'> {
  const { source, logger, isStoreReader } = options;
  return {
    publish: async (quarantined) => {
      const written = await source.quarantine(quarantined);
      return written.match(
        () => true,
        ({ message }) => {
          logger.warn('quarantined cause not written to the store', { ...quarantined, error: message });
          return false;
        },
      );
    },
    withdraw: (quarantined) => {
      if (isStoreReader()) {
        void source.endQuarantine(quarantined).then((removed) => {
          removed.mapErr(({ message }) => {
            logger.warn('quarantined cause not removed from the store', { ...quarantined, error: message });
          });
        });
      }
    },
  };
}
