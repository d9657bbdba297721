/** Runs the same load through each policy for comparison. */
import { type Fleet } from '../fakes/fleet.js';
import { type LoadRequest } from './load.js';
import { LeastLoadedPolicy, NaivePolicy, type Policy, ToucanbendPolicy } from './policy.js';
import { runLoad, type RunRecord } from './run.js';

/** Names of the policies, in the order in which `comparePolicies` runs them. */
export enum PolicyName {
  Naive = 'naive',
  LeastLoaded = 'least-loaded',
  Toucanbend = 'toucanbend',
}

/**
 * Creates a policy.
 *
 * @param name - which policy to create
 * @param fleet - the fleet that it sends requests to
 * @returns the policy
 */
export function createPolicy(name: PolicyName, fleet: Fleet): Policy {
  switch (name) {
    case PolicyName.Naive:
      return new NaivePolicy(fleet);
    case PolicyName.LeastLoaded:
      return new LeastLoadedPolicy(fleet);
    case PolicyName.Toucanbend:
      return new ToucanbendPolicy(fleet);
  }
}

/**
 * Runs a load through each policy, one after the other, and summarises the records.
 *
 * @param fleet - the running fleet that all policies share
 * @param load - the requests
 * @param summarise - computes the figures of a policy from its records
 * @returns the figures by policy
 */
export async function comparePolicies<Figures>(
  fleet: Fleet,
  load: readonly LoadRequest[],
  summarise: (records: readonly RunRecord[], name: PolicyName) => Figures,
): Promise<Record<PolicyName, Figures>> {
  const run = async (name: PolicyName): Promise<Figures> =>
    summarise(await runLoad(load, createPolicy(name, fleet), name), name);
  return {
    [PolicyName.Naive]: await run(PolicyName.Naive),
    [PolicyName.LeastLoaded]: await run(PolicyName.LeastLoaded),
    [PolicyName.Toucanbend]: await run(PolicyName.Toucanbend),
  };
}

/**
 * Selects the requests of a rank.
 *
 * @param records - the requests
 * @param rank - name of the rank
 * @returns the requests of the rank
 */
export function filterByRank(records: readonly RunRecord[], rank: string): RunRecord[] {
  return records.filter(({ request }) => request.rank === rank);
}
