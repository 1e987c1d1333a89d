/** Schemas and inferred types of jobs, configuration, log records and HTTP bodies. */

// Jobs
export * from './job.js';

// Configuration
export * from './inventory.js';

// Terms and reasons
export * from './term.js';
export * from './reason.js';

// Log records
export * from './record.js';

// HTTP bodies
export * from './view.js';
