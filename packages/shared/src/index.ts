/** Clock, typed errors, random numbers, hashes and logger interface that the other packages share. */

// Time
export {
  type Clock,
  type Instant,
  type Milliseconds,
  ManualClock,
  SystemClock,
} from './clock.js';

// Errors
export {
  type ErrorCode,
  type ErrorTemplate,
  ERROR_TEMPLATES,
} from './error_codes.js';
export {
  Failure,
  type FailureBody,
  type FailureDetails,
  describeError,
  isFailure,
} from './failure.js';

// Random numbers and hashes
export {
  type Random,
  SeededRandom,
  computeJitteredBackoff,
  nextInteger,
} from './random.js';
export {chooseByRendezvous, hashText, hashValue} from './hash.js';

// JSON
export {MAX_BODY_DEPTH, MAX_JSON_DEPTH, isTooDeep} from './json_depth.js';

// Logs
export {type Logger, type LogFields, SilentLogger} from './logger.js';
