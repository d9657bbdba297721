/** Restores an entry's picture of the load of engines after a restart. */
export * from './engine-survey.js';
export * from './survey-share.js';
