/** Frames, and the authenticated links over which the processes of the system exchange them. */
export * from './authentication.js';
export * from './codec.js';
export * from './endpoint.js';
export * from './frame.js';
export * from './handshake.js';
export * from './link.js';
export * from './pool.js';
