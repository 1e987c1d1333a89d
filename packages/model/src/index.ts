/** Schemas and inferred types: jobs, inventory, workspaces, rules, log records. */

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
