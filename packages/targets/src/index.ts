/** Reservations, whole-gang start, lease keeping and target health. */

// The platform's targets
export * from './target_client.js';
