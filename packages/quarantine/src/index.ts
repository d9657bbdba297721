/** Quarantine of what crashes backend servers: parts of prompts, and single requests. */
export * from './crash-evidence.js';
export { causesOf, type LostAttempt, type RequestSuspects } from './lost-attempt.js';
export * from './quarantine.js';
export * from './quarantine-update.js';
export * from './request-digest.js';
export { type SentAttempt } from './unanswered-attempts.js';
