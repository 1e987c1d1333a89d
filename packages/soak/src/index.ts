/** A randomized soak of real daemons as processes, with faults from outside them. */
export {type SoakOptions, type SoakReport, runSoak} from './soak.js';
