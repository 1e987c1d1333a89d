/** What kept a ready unit (a gang or a single task) from starting in a scheduling pass. */
export type Obstacle =
  /** More units were before it than a pass considers. */
  | 'not-considered'
  /** A unit of the same shape could not be placed. */
  | 'same-shape'
  /** It waits for targets on which it can be isolated. */
  | 'isolation'
  /** It has just failed and waits for targets that are not doubted. */
  | 'doubted-targets'
  /** It does not fit in the rack of its data, or in any one rack. */
  | 'locality'
  /** It does not fit on the targets that it may use. */
  | 'capacity';
