/** The operators' port of an entry: metrics, readiness and status. */
import { limitServiceConnections } from '@toucanbend/forwarding';
import { type Logger, openOperatorPort } from '@toucanbend/observability';
import { type Registry as MetricsRegistry } from 'prom-client';
import { type ListenAddress } from './listen-address.js';

/** Data sources of the operators' port. */
export interface OperatorSources {
  readonly metricsRegistry: MetricsRegistry;
  readonly logger: Logger;
  readonly isReady: () => boolean;
  readonly status: () => object;
}

/**
 * Opens the operators' port. If that fails, for example because the port is in use, the entry serves callers without it.
 *
 * @param address - address to listen on
 * @param sources - data sources of the port
 */
export async function openOperatorsPort(address: ListenAddress, sources: OperatorSources): Promise<void> {
  const { metricsRegistry, logger, isReady, status } = sources;
  try {
    const server = await openOperatorPort({
      ...address,
      metrics: { text: () => metricsRegistry.metrics() },
      logger,
      isReady,
      status,
    });
    limitServiceConnections(server);
  } catch (error) {
    logger.warn('operator port not opened', { ...address, error: String(error) });
  }
}
