/** Types of measurement scenarios, their reports and their targets. */

/** Command-line options that a scenario runs with. */
export interface ScenarioOptions {
  readonly seed: number;
  /** Length of each load, in seconds. */
  readonly seconds: number;
  /** Number of nodes; only some scenarios use it. */
  readonly nodes: number;
}

/** The result of comparing a measured value with its target. */
export interface TargetResult {
  readonly name: string;
  readonly target: number;
  readonly measured: number;
  /** Whether the measured value meets the target. */
  readonly held: boolean;
}

/** The result of a scenario, printed as JSON under these keys. */
export interface ScenarioReport {
  /** Figures by policy or by phase of the run. */
  readonly policies: Readonly<Record<string, object>>;
  /** Ratios between figures of different runs, by name. */
  readonly ratios: Readonly<Record<string, number>>;
  readonly targets: readonly TargetResult[];
  /** Further figures, merged into the top level of the printed JSON object. */
  readonly figures?: object;
}

/** A measurement that can be run by name. */
export interface Scenario {
  readonly name: string;
  readonly description: string;
  /** Default length of each load, in seconds. */
  readonly seconds: number;
  readonly run: (options: ScenarioOptions) => Promise<ScenarioReport>;
}

/**
 * Compares a measured value with an upper bound.
 *
 * @param name - name of the measured value in the report
 * @param target - the bound, inclusive
 * @param measured - the measured value
 * @returns the target, the measured value, and whether the target is met
 */
export function atMost(name: string, target: number, measured: number): TargetResult {
  return { name, target, measured, held: measured <= target };
}

/**
 * Compares a measured value with a lower bound.
 *
 * @param name - name of the measured value in the report
 * @param target - the bound, inclusive
 * @param measured - the measured value
 * @returns the target, the measured value, and whether the target is met
 */
export function atLeast(name: string, target: number, measured: number): TargetResult {
  return { name, target, measured, held: measured >= target };
}
