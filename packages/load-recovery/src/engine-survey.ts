/** Reads the reports of engines after the start of an entry, and records the requests that no entry knows. */
import { type Clock } from '@toucanbend/core';
import { type Logger } from '@toucanbend/observability';
import {
  type EngineReport,
  type LoadTracker,
  type LoadUpdate,
  LoadUpdateKind,
  unattributedLoad,
  UNATTRIBUTED_MS,
} from '@toucanbend/placement';
import {
  type BackendServer,
  initialPosition,
  isAfter,
  listEntries,
  listServers,
  RecordKind,
  type Registry,
} from '@toucanbend/registry';
import { type Result } from 'neverthrow';
import { engineShareOf } from './survey-share.js';

/** Why an engine has not reported its load. */
export interface EngineReportError {
  readonly server: string;
  readonly message: string;
}

/** Reads what engines report about their load, as of some hundred milliseconds ago. */
export interface EngineReports {
  /**
   * Reads the report of an engine.
   *
   * @param server - the engine
   * @returns the report, or why there is none
   */
  read(server: BackendServer): Promise<Result<EngineReport, EngineReportError>>;
}

/** Identity and dependencies of a survey. */
export interface EngineSurveyOptions {
  /** Name of this entry. */
  readonly entry: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly registry: () => Registry;
  readonly loadTracker: Pick<LoadTracker, 'load' | 'unattributed'>;
  readonly reports: EngineReports;
  readonly broadcast: (update: LoadUpdate) => void;
}

/** Surveys the engines once after the start of an entry. */
export interface EngineSurvey {
  /** Begins the survey if the engines and the entries are known; no effect if it has begun. */
  begin(): void;
  /** Returns the number of requests of no known entry in the last round; 0 once the survey has ended. */
  unattributedCount(): number;
}

/** Age of the load that a report describes, in milliseconds; engines publish their state several times a second. */
const REPORT_AGE_MS = 200;
/** Interval between two reports of an engine that runs such requests, in milliseconds. */
const ROUND_INTERVAL_MS = (2 * UNATTRIBUTED_MS) / 3;
/** Number of rounds. Engines cut off an answer that nobody reads after some seconds. */
const MAX_ROUNDS = 12;

interface Round {
  readonly requests: number;
  readonly busy: readonly string[];
}

class StartSurvey implements EngineSurvey {
  readonly #options: EngineSurveyOptions;
  #hasBegun = false;
  #unattributed = 0;

  constructor(options: EngineSurveyOptions) {
    this.#options = options;
  }

  begin(): void {
    const { registry, entry } = this.#options;
    if (this.#hasBegun || !isAfter(registry().positions[RecordKind.Entry], initialPosition)) {
      return;
    }
    const engines = this.#engines().map(({ id }) => id);
    if (engines.length === 0) {
      return;
    }
    this.#hasBegun = true;
    const entries = listEntries(registry()).map(({ name }) => name);
    void this.#run(engineShareOf(engines, entries, entry), 1);
  }

  unattributedCount(): number {
    return this.#unattributed;
  }

  /** Returns the registered servers of services with engines, once the catalogue is known. */
  #engines(): BackendServer[] {
    const registry = this.#options.registry();
    const services = registry.catalogue?.services ?? [];
    const names = new Set(services.filter(({ engine }) => engine !== undefined).map(({ name }) => name));
    return listServers(registry).filter(({ service }) => names.has(service));
  }

  async #run(ids: readonly string[], number: number): Promise<void> {
    const { clock, logger } = this.#options;
    const known = new Map(this.#engines().map((server) => [server.id, server]));
    const servers = ids.flatMap((id) => known.get(id) ?? []);
    const { requests, busy } = await this.#readAll(servers, number);
    this.#unattributed = requests;
    if (busy.length > 0 && number < MAX_ROUNDS) {
      clock.after(ROUND_INTERVAL_MS, () => {
        void this.#run(busy, number + 1);
      });
    } else {
      logger.info('engine survey ended', { rounds: number, unattributed: requests });
      this.#unattributed = 0;
    }
  }

  async #readAll(servers: readonly BackendServer[], number: number): Promise<Round> {
    const { clock, logger, loadTracker, reports, broadcast } = this.#options;
    let requests = 0;
    const busy: string[] = [];
    const errors: EngineReportError[] = [];
    const read = async (server: BackendServer): Promise<void> => {
      const report = await reports.read(server);
      if (report.isErr()) {
        errors.push(report.error);
        return;
      }
      const asOfMs = clock.now() - REPORT_AGE_MS;
      const load = unattributedLoad(report.value, loadTracker.load(server.id), asOfMs);
      if (load.requests > 0) {
        busy.push(server.id);
        requests += load.requests;
      }
      if (load.requests > 0 || number > 1) {
        const { id, service } = server;
        broadcast({ kind: LoadUpdateKind.Reported, server: id, service, report: report.value, asOfMs });
        const { engine } =
          this.#options.registry().catalogue?.services.find(({ name }) => name === server.service) ?? {};
        loadTracker.unattributed(server.id, engine, load, clock.now());
      }
    };
    await Promise.all(servers.map(read));
    logger.info('engines surveyed', {
      round: number,
      engines: servers.length,
      busy: busy.length,
      unattributed: requests,
      unread: errors.length,
      firstError: errors[0] === undefined ? '' : `${errors[0].server}: ${errors[0].message}`,
    });
    return { requests, busy };
  }
}

/**
 * Creates the survey of an entry.
 *
 * @param options - identity and dependencies
 * @returns the survey, which reads nothing before `begin`
 */
export function createEngineSurvey(options: EngineSurveyOptions): EngineSurvey {
  return new StartSurvey(options);
}
