/**
 * Ports of test fleets. Guards against fleets of concurrent tests that are given one port: it is free while the process that
 * listens there is started again, and a fleet then waits for good for a process that cannot listen.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createPortAllocator } from '../fakes/ports.js';

describe('the ports of concurrent processes', () => {
  it('differ though nothing listens on them, also if the processes begin their search at the same block', async () => {
    const start = process.pid + 60;
    const allocators = [
      createPortAllocator(start),
      createPortAllocator(start),
      createPortAllocator(start + 120),
    ];
    const taken = await Promise.all(allocators.map((allocator) => allocator.take(150)));
    allocators.forEach((allocator) => {
      allocator.close();
    });
    assert.equal(new Set(taken.flat()).size, 450);
  });
});
