/** The replicated registry: configuration, backend servers and entries. */
export * from './catalogue.js';
export * from './decode-record.js';
export * from './evacuated-data-centre.js';
export * from './evacuation.js';
export * from './member.js';
export * from './quarantined-cause.js';
export * from './registry-record.js';
export * from './registry-transfer.js';
export * from './registry.js';
export * from './restored-record.js';
export * from './source.js';
export * from './store-position.js';
