/** The replicated registry: configuration, backend servers and entries. */
export * from './catalogue.js';
export * from './decode-record.js';
export * from './member.js';
export * from './quarantined-part.js';
export * from './registry.js';
export * from './source.js';
