/** Metrics of forwarding. Label values come from ranks and enumerations only, so their number is bounded. */
import { type Outcome } from '@toucanbend/core';
import { type RoomDecisionKind } from '@toucanbend/placement';
import { Counter, Histogram, type Registry as MetricsRegistry } from 'prom-client';
import { type AttemptFailure } from './attempt.js';
import { type EndReason } from './caller-answer.js';
import { type MemoryOrder, type OrderFailure } from './memory.js';

const FIRST_EVENT_BUCKETS_SECONDS = [0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2.5, 5, 10, 15];
const RATIO_BUCKETS = [0.25, 0.5, 0.8, 1, 1.25, 1.5, 2, 4, 8];

/** Metrics of forwarding. */
export interface ForwardingMetrics {
  countEnd(rank: number, outcome: Outcome, reason: EndReason): void;
  countFailure(failure: AttemptFailure): void;
  /** Counts a memory order; `failure` is undefined if the order succeeded. */
  countOrder(order: MemoryOrder, failure: OrderFailure | undefined): void;
  /** Counts a request that waits, yields or is rejected since the engines have too few free places. */
  countRoomDecision(rank: number, decision: RoomDecisionKind): void;
  observeFirstEvent(rank: number, elapsedMs: number): void;
  /** Records the ratio of the actual to the predicted time to the first event. */
  observePrediction(rank: number, expectedMs: number, actualMs: number): void;
}

/**
 * Creates the metrics of forwarding.
 *
 * @param registry - the registry that receives the metrics
 * @returns the metrics, all at zero
 */
export function createForwardingMetrics(registry: MetricsRegistry): ForwardingMetrics {
  const registers = [registry];
  const ends = new Counter({
    name: 'toucanbend_forwarded_requests_total',
    help: 'Requests by rank, outcome and reason.',
    labelNames: ['rank', 'outcome', 'reason'],
    registers,
  });
  const failures = new Counter({
    name: 'toucanbend_failed_attempts_total',
    help: 'Attempts that failed, by how they failed.',
    labelNames: ['failure'],
    registers,
  });
  const orders = new Counter({
    name: 'toucanbend_memory_orders_total',
    help: 'Orders about memory at engines, by order and outcome.',
    labelNames: ['order', 'outcome'],
    registers,
  });
  const roomDecisions = new Counter({
    name: 'toucanbend_room_decisions_total',
    help: 'Prompts that waited, yielded or were turned away for lack of free places, by rank and decision.',
    labelNames: ['rank', 'decision'],
    registers,
  });
  const firstEvent = new Histogram({
    name: 'toucanbend_forwarded_first_event_seconds',
    help: 'Time to the first event, or to a whole answer, by rank.',
    labelNames: ['rank'],
    buckets: FIRST_EVENT_BUCKETS_SECONDS,
    registers,
  });
  const prediction = new Histogram({
    name: 'toucanbend_forwarded_prediction_ratio',
    help: 'Actual over predicted time to the first event, by rank.',
    labelNames: ['rank'],
    buckets: RATIO_BUCKETS,
    registers,
  });
  return {
    countEnd: (rank, outcome, reason) => {
      ends.inc({ rank: String(rank), outcome, reason });
    },
    countFailure: (failure) => {
      failures.inc({ failure });
    },
    countOrder: (order, failure) => {
      orders.inc({ order, outcome: failure ?? 'done' });
    },
    countRoomDecision: (rank, decision) => {
      roomDecisions.inc({ rank: String(rank), decision });
    },
    observeFirstEvent: (rank, elapsedMs) => {
      firstEvent.observe({ rank: String(rank) }, elapsedMs / 1_000);
    },
    observePrediction: (rank, expectedMs, actualMs) => {
      prediction.observe({ rank: String(rank) }, actualMs / Math.max(1, expectedMs));
    },
  };
}
