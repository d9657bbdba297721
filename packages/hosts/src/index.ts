/** Client of the platform's host list. */
export * from './host-list.js';
