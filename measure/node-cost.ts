/** Measures the resource use of fleet processes: processor time, private memory and control traffic. */
import { readFileSync } from 'node:fs';
import { callJson, type FleetNode } from '../fakes/fleet.js';

/** A snapshot of the counters of a node; all but the memory are cumulative. */
export interface NodeCounters {
  readonly atMs: number;
  readonly processorMs: number;
  readonly controlBytes: number;
  readonly controlFrames: number;
  readonly payloadBytes: number;
  readonly privateMegabytes: number;
}

interface NodeStatus {
  readonly traffic: {
    readonly controlBytes: number;
    readonly controlFrames: number;
    readonly payloadBytes: number;
  };
  readonly processor: { readonly user: number; readonly system: number };
}

const KILOBYTES_PER_MEGABYTE = 1_024;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Returns the memory that is private to the process (clean and dirty), from `/proc/PID/smaps_rollup`. */
function privateMegabytes(pid: number): number {
  const rollup = readFileSync(`/proc/${String(pid)}/smaps_rollup`, 'utf8');
  const kilobytes = [...rollup.matchAll(/^Private_(?:Clean|Dirty):\s+(\d+) kB$/gm)];
  return kilobytes.reduce((sum, match) => sum + Number(match[1]), 0) / KILOBYTES_PER_MEGABYTE;
}

/**
 * Reads the current counters of a node.
 *
 * @param node - the node
 * @returns a snapshot of the counters
 */
export async function readCounters(node: FleetNode): Promise<NodeCounters> {
  const { traffic, processor } = await callJson<NodeStatus>(node.operatorPort, '/status');
  return {
    atMs: performance.now(),
    processorMs: (processor.user + processor.system) / MICROSECONDS_PER_MILLISECOND,
    controlBytes: traffic.controlBytes,
    controlFrames: traffic.controlFrames,
    payloadBytes: traffic.payloadBytes,
    privateMegabytes: privateMegabytes(node.process.child.pid ?? 0),
  };
}

/** Resource use over an interval, as the mean per node; `privateMegabytes` is the value at its end. */
export interface NodeCost {
  readonly seconds: number;
  readonly processorMs: number;
  readonly controlBytes: number;
  readonly controlFrames: number;
  readonly payloadBytes: number;
  readonly privateMegabytes: number;
}

/**
 * Measures the resource use of nodes while an action runs.
 *
 * @param nodes - the nodes to measure
 * @param action - started after the first snapshot; the interval ends when it resolves
 * @returns the mean cost per node
 */
export async function measureCost(
  nodes: readonly FleetNode[],
  action: () => Promise<unknown>,
): Promise<NodeCost> {
  const before = await Promise.all(nodes.map(readCounters));
  await action();
  const after = await Promise.all(nodes.map(readCounters));
  const mean = (select: (counters: NodeCounters) => number): number =>
    after.reduce((sum, counters, index) => sum + select(counters) - select(before[index] ?? counters), 0) /
    nodes.length;
  return {
    seconds: mean((counters) => counters.atMs) / 1_000,
    processorMs: mean((counters) => counters.processorMs),
    controlBytes: mean((counters) => counters.controlBytes),
    controlFrames: mean((counters) => counters.controlFrames),
    payloadBytes: mean((counters) => counters.payloadBytes),
    privateMegabytes: after.reduce((sum, counters) => sum + counters.privateMegabytes, 0) / nodes.length,
  };
}

/**
 * Fits a straight line by least squares.
 *
 * @param points - pairs of a size and a cost
 * @returns the cost at size 0, and the additional cost per unit of size
 */
export function fitLine(points: readonly (readonly [number, number])[]): {
  readonly base: number;
  readonly slope: number;
} {
  const meanOf = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanX = meanOf(points.map(([x]) => x));
  const meanY = meanOf(points.map(([, y]) => y));
  const slope =
    points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) /
    points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  return { base: meanY - slope * meanX, slope };
}
