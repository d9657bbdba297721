/** Measures prefix caching: several questions on the same archive, whose text is a long shared prompt prefix. */
import { benchAccounts, startBench } from '../bench.js';
import { comparePolicies } from '../compare.js';
import { firstTokenTimes, ratio, runFigures, summariseLatencies } from '../figures.js';
import { type LoadRequest } from '../load.js';
import { type RunRecord } from '../run.js';
import { atLeast, type Scenario } from '../scenario.js';

const ARCHIVES = 6;
const QUESTIONS = 5;
const ARCHIVE_TOKENS = 60_000;
const QUESTION_INTERVAL_MS = 1_200;
const ARCHIVE_OFFSET_MS = 150;
/** Minimum speed-up of later questions over the first that counts as "many times faster". */
const MIN_SPEED_UP = 5;

function drawQuestions(): LoadRequest[] {
  return Array.from({ length: ARCHIVES * QUESTIONS }, (_, index) => {
    const archive = index % ARCHIVES;
    const question = Math.floor(index / ARCHIVES);
    return {
      atMs: question * QUESTION_INTERVAL_MS + archive * ARCHIVE_OFFSET_MS,
      account: benchAccounts[archive]?.name ?? '',
      rank: 'standard',
      promptTokens: ARCHIVE_TOKENS,
      maxTokens: 10,
      key: `${String(archive)}-${String(question)}`,
      prefixGroup: `archive ${String(archive)}`,
    };
  });
}

function summarise(
  records: readonly RunRecord[],
): ReturnType<typeof runFigures> & { firstMs: number; laterMs: number } {
  const first = records.filter(({ request }) => request.key.endsWith('-0'));
  const later = records.filter(({ request }) => !request.key.endsWith('-0'));
  return {
    ...runFigures(records),
    firstMs: summariseLatencies(firstTokenTimes(first)).p50,
    laterMs: summariseLatencies(firstTokenTimes(later)).p50,
  };
}

export const prefixReuse: Scenario = {
  name: 'prefix-reuse',
  description: 'five questions on each of six archives of 60,000 tokens',
  seconds: 6,
  run: async () => {
    const fleet = await startBench({ engines: 4 });
    try {
      const compared = await comparePolicies(fleet, drawQuestions(), summarise);
      const speedUp = ratio(compared.toucanbend.firstMs, compared.toucanbend.laterMs);
      return {
        policies: compared,
        ratios: {
          firstOverLater: speedUp,
          naiveFirstOverLater: ratio(compared.naive.firstMs, compared.naive.laterMs),
        },
        targets: [atLeast('firstOverLater', MIN_SPEED_UP, speedUp)],
      };
    } finally {
      await fleet.stop();
    }
  },
};
