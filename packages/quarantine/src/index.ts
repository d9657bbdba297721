/** Quarantine of what crashes backend servers: parts of prompts, and single requests. */
export * from './crash-evidence.js';
export * from './quarantine.js';
export * from './quarantine-update.js';
export * from './request-digest.js';
export { type SentAttempt } from './unanswered-attempts.js';
