/**
 * A part that crashes servers in prompts that their callers repeat: each of them crashes several servers by itself. Guards
 * against blaming one prompt after the other in place of the part that they share.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCrashEvidence, type CrashEvidence, type LostAttempt } from '@toucanbend/quarantine';
import { type CrashCause, CrashCauseKind } from '@toucanbend/registry';

const SERVICE = 'model';
const SHARED = 'shared';
const POISON = 'poison';
/** Time between two crashes by one prompt, and between two prompts, in milliseconds. */
const CRASH_INTERVAL_MS = 300;
const PROMPT_INTERVAL_MS = 4_000;
const RUN_MS = 60;
/** The users' rule: so many requests with the part may reach servers later than this time after so many crashes. */
const ALLOWED_REQUESTS = 3;
const CRASHES_TO_LEARN = 5;
const STABLE_WINDOW_MS = 3_000;

const part = (id: string): CrashCause => ({ kind: CrashCauseKind.PromptPart, id });

interface Play {
  readonly evidence: CrashEvidence;
  readonly found: CrashCause[];
  lose(digest: string, parts: readonly string[], crash: number, atMs: number): void;
  serve(id: string, atMs: number): void;
  /** Quarantines what the evidence suffices for. */
  decide(): void;
  isQuarantined(digest: string, parts: readonly string[]): boolean;
}

function startPlay(): Play {
  const evidence = createCrashEvidence();
  const found: CrashCause[] = [];
  return {
    evidence,
    found,
    lose: (digest, parts, crash, atMs) => {
      const server = `i-${String(crash)}`;
      const attempt: LostAttempt = {
        service: SERVICE,
        server,
        request: `${digest} at ${server}`,
        digest,
        parts,
        sentAtMs: atMs - RUN_MS,
        atMs,
      };
      evidence.lost(attempt);
    },
    serve: (id, atMs) => {
      evidence.served(SERVICE, part(id), atMs);
    },
    decide: () => {
      for (let next = evidence.findCulprit(); next !== undefined; next = evidence.findCulprit()) {
        found.push(next.cause);
        evidence.explain(next.service, next.cause);
      }
    },
    isQuarantined: (digest, parts) => found.some(({ id }) => id === digest || parts.includes(id)),
  };
}

interface Pattern {
  /** Number of servers that one prompt crashes unless it is stopped: its attempts times those of its caller. */
  readonly crashesByPrompt: number;
  /** Number of sound prompts that each crash interrupts beside it. */
  readonly bystanders: number;
  /** Whether the first of them goes on at the server that crashes next. */
  readonly isFollowed: boolean;
  /** Whether the prompt crashes one more server at another entry, which does not know of the last crash, before it is decided. */
  readonly isDecidedLate: boolean;
}

/** Plays twelve prompts. Returns the number of requests with the part that reached servers too late, by the rule. */
function playPrompts(
  play: Play,
  { crashesByPrompt, bystanders, isFollowed, isDecidedLate }: Pattern,
): number {
  const parts = [SHARED, POISON];
  let crashes = 0;
  let late = 0;
  let learnedAtMs = Number.POSITIVE_INFINITY;
  let isDue = false;
  for (let prompt = 1; prompt <= 12; prompt += 1) {
    const digest = `prompt ${String(prompt)}`;
    for (let repeat = 0; repeat < crashesByPrompt && !play.isQuarantined(digest, parts); repeat += 1) {
      const atMs = prompt * PROMPT_INTERVAL_MS + repeat * CRASH_INTERVAL_MS;
      late += atMs > learnedAtMs + STABLE_WINDOW_MS ? 1 : 0;
      crashes += 1;
      learnedAtMs = crashes === CRASHES_TO_LEARN ? atMs : learnedAtMs;
      for (let index = 0; index < bystanders; index += 1) {
        const isSame = isFollowed && index === 0;
        const bystander = isSame ? `followed ${String(prompt)}` : `sound ${String(crashes)} ${String(index)}`;
        play.lose(bystander, [SHARED, `of ${bystander}`], crashes, atMs);
      }
      play.lose(digest, parts, crashes, atMs);
      if (isDue || !isDecidedLate) {
        play.decide();
      }
      isDue = !isDue && play.evidence.findCulprit() !== undefined;
      play.serve(SHARED, atMs + 20);
    }
    play.decide();
    isDue = false;
  }
  return late;
}

describe('a part that crashes servers, in prompts that are repeated', () => {
  for (const crashesByPrompt of [1, 2, 3, 4, 6]) {
    for (const bystanders of [0, 1, 3]) {
      for (const [isFollowed, isDecidedLate] of [
        [false, false],
        [false, true],
        [true, false],
        [true, true],
      ] as const) {
        const name = [
          `${String(crashesByPrompt)} crashes by each`,
          `${String(bystanders)} sound ones beside it`,
          ...(isFollowed ? ['one of which fails over'] : []),
          ...(isDecidedLate ? ['decided late'] : []),
        ].join(', ');
        it(`is known after a few crashes: ${name}`, () => {
          const play = startPlay();
          const late = playPrompts(play, { crashesByPrompt, bystanders, isFollowed, isDecidedLate });
          assert.ok(late <= ALLOWED_REQUESTS, `${String(late)} requests too late`);
          assert.ok(play.isQuarantined('', [POISON]), 'the part is quarantined');
          assert.ok(!play.isQuarantined('', [SHARED]), 'the part that all prompts have is not');
        });
      }
    }
  }

  it('is known beside a request that crashes servers as well and has both parts', () => {
    const play = startPlay();
    for (let crash = 1; crash <= 3; crash += 1) {
      play.lose('crashing', [SHARED, POISON], crash, crash * CRASH_INTERVAL_MS);
      play.decide();
      play.serve(SHARED, crash * CRASH_INTERVAL_MS + 20);
    }
    assert.ok(play.isQuarantined('crashing', []), 'the request is quarantined');
    assert.ok(!play.isQuarantined('', [POISON]), 'the part is not, of which only this request is known');
    for (let crash = 4; crash <= 5; crash += 1) {
      play.lose(`prompt ${String(crash)}`, [SHARED, POISON], crash, crash * PROMPT_INTERVAL_MS);
      play.decide();
    }
    assert.ok(play.isQuarantined('', [POISON]), 'the part is quarantined');
    assert.ok(!play.isQuarantined('', [SHARED]), 'the part that all prompts have is not');
  });
});

describe('a request that crashes servers', () => {
  it('does not bring a part into quarantine of which one sound prompt is lost in another crash', () => {
    const play = startPlay();
    for (let crash = 1; crash <= 3; crash += 1) {
      play.lose('crashing', ['rare'], crash, crash * CRASH_INTERVAL_MS);
      play.decide();
    }
    play.lose('sound', ['rare'], 4, 60_000);
    play.decide();
    assert.deepEqual(
      play.found.map(({ id }) => id),
      ['crashing'],
    );
  });

  it('is blamed before a part of sound prompts beside it that accounts for no more crashes', () => {
    const play = startPlay();
    for (let crash = 1; crash <= 3; crash += 1) {
      play.lose(`sound ${String(crash)}`, ['rare'], crash, crash * CRASH_INTERVAL_MS);
      play.lose('crashing', [], crash, crash * CRASH_INTERVAL_MS);
    }
    play.decide();
    assert.deepEqual(
      play.found.map(({ id }) => id),
      ['crashing'],
    );
  });

  it('does not bring a part into quarantine of which sound prompts are lost in its crashes', () => {
    const play = startPlay();
    for (let crash = 1; crash <= 5; crash += 1) {
      play.lose(`sound ${String(crash)}`, ['rare'], crash, crash * CRASH_INTERVAL_MS);
      play.lose('crashing', ['rare'], crash, crash * CRASH_INTERVAL_MS);
    }
    play.decide();
    assert.deepEqual(
      play.found.map(({ id }) => id),
      ['crashing'],
    );
  });
});
