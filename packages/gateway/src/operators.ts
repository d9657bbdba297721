/** The operators' port of an entry. */
import { type Logger, openOperatorPort } from '@toucanbend/observability';
import { type Registry as MetricsRegistry } from 'prom-client';
import { type ListenAddress } from './listen-address.js';

/** What the port shows. */
export interface OperatorSources {
  readonly metricsRegistry: MetricsRegistry;
  readonly logger: Logger;
  readonly isReady: () => boolean;
  readonly status: () => object;
}

/**
 * Opens the port; the entry serves callers without it where the port is taken.
 *
 * @param address - where to listen
 * @param sources - what is shown
 */
export async function openOperators(address: ListenAddress, sources: OperatorSources): Promise<void> {
  const { metricsRegistry, logger, isReady, status } = sources;
  try {
    await openOperatorPort({
      ...address,
      metrics: { text: () => metricsRegistry.metrics() },
      logger,
      isReady,
      status,
    });
  } catch (error) {
    logger.warn('operators port not opened', { ...address, error: String(error) });
  }
}
