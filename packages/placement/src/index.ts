/** Placement of requests: chooses a server, delays a request or rejects it, and limits retries. */
export * from './call-choice.js';
export * from './decision.js';
export * from './engine-choice.js';
export * from './engine-group.js';
export * from './engine-shortlist.js';
export * from './job-share.js';
export * from './job.js';
export * from './load-tracker.js';
export * from './load-update.js';
export * from './planner.js';
export * from './prompt-choice.js';
export * from './prompt-placement.js';
export * from './prompt-wait.js';
export * from './ready-servers.js';
export * from './retry-budget.js';
export * from './room.js';
