/** Metrics of an entry that forwards to backend servers directly; their values are read at each scrape. */
import { Gauge, type Registry as MetricsRegistry } from 'prom-client';

/** Functions that return the current values of the metrics. */
export interface GatewayGauges {
  readonly requestsInFlight: () => number;
  readonly linkedEntries: () => number;
  readonly knownEntries: () => number;
  readonly readyServers: () => number;
  /** Returns the number of data centres whose servers get nothing more. */
  readonly evacuatedDataCentres: () => number;
  readonly quarantinedCauses: () => number;
  readonly limitedServers: () => number;
  readonly leavingServers: () => number;
  /** Returns the number of requests at engines that no entry knows, by the last survey. */
  readonly unattributedRequests: () => number;
  readonly coldServers: () => number;
  readonly pacedServers: () => number;
  /** Returns 0 before the first catalogue is received. */
  readonly catalogueVersion: () => number;
  /** Returns 1 if the last call to the store was answered, else 0. */
  readonly storeAnswers: () => number;
  readonly storeCalls: () => number;
  readonly failedStoreCalls: () => number;
  /** Returns how often the store has returned with an older copy. */
  readonly storeRestorations: () => number;
}

const descriptions: Readonly<Record<keyof GatewayGauges, readonly [name: string, help: string]>> = {
  requestsInFlight: [
    'toucanbend_requests_in_flight',
    'Requests of callers that are being received, queued or processed.',
  ],
  linkedEntries: ['toucanbend_linked_entries', 'Other entries with an open link.'],
  knownEntries: ['toucanbend_known_entries', 'Entries that are registered in the store, including this one.'],
  readyServers: ['toucanbend_ready_servers', 'Backend servers that are registered as ready for requests.'],
  evacuatedDataCentres: [
    'toucanbend_evacuated_data_centres',
    'Data centres that operators have evacuated: nothing more is sent to their servers.',
  ],
  quarantinedCauses: [
    'toucanbend_quarantined_causes',
    'Parts of prompts and single requests that are rejected because they crash backend servers.',
  ],
  limitedServers: ['toucanbend_limited_servers', 'Backend servers that state a rate limit.'],
  leavingServers: ['toucanbend_leaving_servers', 'Backend servers that have answered that they leave.'],
  unattributedRequests: [
    'toucanbend_unattributed_requests',
    'Requests at engines that no entry has recorded, by the last reports that this entry read after its start.',
  ],
  pacedServers: ['toucanbend_paced_servers', 'Backend servers that are used at a reduced pace.'],
  coldServers: ['toucanbend_cold_servers', 'Backend servers that are cold by what their records state.'],
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
  storeRestorations: [
    'toucanbend_store_restorations',
    'How often the store has returned with an older copy since the start.',
  ],
};

/**
 * Registers the metrics of an entry.
 *
 * @param registry - the metrics registry
 * @param gauges - functions that return the current values
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
