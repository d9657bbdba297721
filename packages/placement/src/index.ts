/** Where a request goes, whether it waits, and when it is refused. */
export * from './call-choice.js';
export * from './engine-choice.js';
export * from './group-choice.js';
export * from './job.js';
export * from './load-book.js';
export * from './load-news.js';
export * from './planner.js';
export * from './retry-window.js';
