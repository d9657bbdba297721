/** Client of the stored configuration. */
export * from './operator.js';
