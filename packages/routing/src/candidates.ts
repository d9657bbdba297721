/** Selects the servers that an entry probes for a request. */
import { type Random } from '@toucanbend/core';
import murmurhash from 'murmurhash';
import { Distance, distanceTo, type Location, type CandidateServer } from './server.js';

/** Number of servers to probe in a round. */
export interface CandidateSettings {
  /** Servers chosen by a hash of the prompt's prefix, so that prompts with equal prefixes reach a warm prefix cache. */
  readonly byPrefix: number;
  /** Servers chosen at random. */
  readonly atRandom: number;
}

/** Default settings, which suit a fleet of any size. */
export const defaultCandidateSettings: CandidateSettings = { byPrefix: 1, atRandom: 2 };

/** Index of the prefix whose hash selects the preferred servers; a shorter prompt uses its longest prefix. */
const MAX_AFFINITY_PREFIX_INDEX = 3;

/**
 * Orders servers by rendezvous hashing, so that removing a server remaps only the keys that preferred it.
 *
 * @param servers - the servers
 * @param key - the key to place
 * @returns the servers in order of preference for the key, most preferred first
 */
export function rendezvousOrder(servers: readonly CandidateServer[], key: string): CandidateServer[] {
  return servers
    .map((server) => ({ server, score: murmurhash.v3(`${key}/${server.name}`) }))
    .sort((left, right) => right.score - left.score)
    .map(({ server }) => server);
}

function sampleServers(
  servers: readonly CandidateServer[],
  count: number,
  random: Random,
): CandidateServer[] {
  const pool = [...servers];
  const sample: CandidateServer[] = [];
  while (sample.length < count && pool.length > 0) {
    sample.push(...pool.splice(random.below(pool.length), 1));
  }
  return sample;
}

function selectCandidates(
  servers: readonly CandidateServer[],
  prefix: readonly number[],
  settings: CandidateSettings,
  random: Random,
): CandidateServer[] {
  const affinityHash = prefix[Math.min(MAX_AFFINITY_PREFIX_INDEX, prefix.length - 1)];
  const preferred =
    affinityHash === undefined
      ? []
      : rendezvousOrder(servers, String(affinityHash)).slice(0, settings.byPrefix);
  const others = servers.filter((server) => !preferred.includes(server));
  const wanted = settings.byPrefix + settings.atRandom - preferred.length;
  return [...preferred, ...sampleServers(others, wanted, random)];
}

/**
 * Selects the servers to probe in successive rounds: first in the entry's data centre, then there and in the rest of
 * its region, then in other regions.
 *
 * @param servers - servers that serve the model or service
 * @param prefix - hashes of the prompt's prefixes, shortest first
 * @param from - location of the entry
 * @param settings - number of servers to probe in a round
 * @param random - source of random numbers
 * @returns one non-empty list of servers per round; a round is probed only if earlier rounds gave no satisfactory offer
 */
export function candidateRounds(
  servers: readonly CandidateServer[],
  prefix: readonly number[],
  from: Location,
  settings: CandidateSettings,
  random: Random,
): CandidateServer[][] {
  const near = servers.filter((server) => distanceTo(server, from) === Distance.SameDataCentre);
  const region = servers.filter((server) => distanceTo(server, from) === Distance.SameRegion);
  const far = servers.filter((server) => distanceTo(server, from) === Distance.OtherRegion);
  const first = selectCandidates(near, prefix, settings, random);
  const second = sampleServers(
    near.filter((server) => !first.includes(server)),
    settings.atRandom + settings.byPrefix,
    random,
  );
  const rounds = [
    first,
    [...second, ...sampleServers(region, settings.atRandom, random)],
    selectCandidates(far, prefix, settings, random),
  ];
  return rounds.filter((round) => round.length > 0);
}
