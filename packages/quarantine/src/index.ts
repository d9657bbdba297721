/** Quarantine of parts of prompts that crash backend servers. */
export * from './crash-evidence.js';
export * from './quarantine.js';
export * from './quarantine-update.js';
export * from './request-digest.js';
