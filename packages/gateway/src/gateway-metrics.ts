/** Metrics of an entry that sends to backend servers directly, read when they are asked for. */
import { Gauge, type Registry as MetricsRegistry } from 'prom-client';

/** State that the metrics show. */
export interface GatewayGauges {
  readonly requestsInFlight: () => number;
  readonly linkedEntries: () => number;
  readonly knownEntries: () => number;
  readonly readyServers: () => number;
  /** 0 before the first catalogue. */
  readonly catalogueVersion: () => number;
  /** 1 while the store answers, else 0. */
  readonly storeAnswers: () => number;
  readonly storeCalls: () => number;
  readonly failedStoreCalls: () => number;
}

const descriptions: Readonly<Record<keyof GatewayGauges, readonly [name: string, help: string]>> = {
  requestsInFlight: ['toucanbend_requests_in_flight', 'Requests of callers that are read, wait or run.'],
  linkedEntries: ['toucanbend_linked_entries', 'Other entries to which a link is open.'],
  knownEntries: ['toucanbend_known_entries', 'Entries that are registered in the store, this one included.'],
  readyServers: ['toucanbend_ready_servers', 'Backend servers that take requests by their registrations.'],
  catalogueVersion: [
    'toucanbend_catalogue_version',
    'Version of the configuration in force; 0 before the first.',
  ],
  storeAnswers: ['toucanbend_store_answers', 'Whether the last call to the store was answered.'],
  storeCalls: ['toucanbend_store_calls', 'Calls to the store since the start.'],
  failedStoreCalls: [
    'toucanbend_failed_store_calls',
    'Calls to the store without a usable answer since the start.',
  ],
};

/**
 * Registers the metrics of an entry.
 *
 * @param registry - where they are registered
 * @param gauges - state that they show
 */
export function registerGatewayMetrics(registry: MetricsRegistry, gauges: GatewayGauges): void {
  for (const key of Object.keys(descriptions) as (keyof GatewayGauges)[]) {
    const [name, help] = descriptions[key];
    const read = gauges[key];
    new Gauge({
      name,
      help,
      registers: [registry],
      collect() {
        this.set(read());
      },
    });
  }
}
