/** A randomized soak test of real daemon processes with external fault injection. */
export {type SoakOptions, type SoakReport, runSoak} from './soak.js';
