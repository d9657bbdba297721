/** What is known of the fleet. */
export * from './catalogue.js';
export * from './member.js';
export * from './registry.js';
export * from './source.js';
