/** Commands of operators on the configuration. */
import {
  type ConfigurationChange,
  type ConfigurationResult,
  type Domain,
  type Edit,
  configurationChange,
} from '@galenavalve/model';
import type {FoldResult} from '@galenavalve/ledger';
import {Failure, describeError} from '@galenavalve/shared';
import {parseBody} from '../http/parse_body.js';
import type {DaemonContext} from '../daemon_context.js';
import {appendCommand} from './append_command.js';
import {checkServing} from './check_serving.js';

/**
 * Records a change and says whether it was accepted. Throws `config-conflict`,
 * `config-invalid` or `guarantee-shortfall` when nothing of it is in force.
 */
export async function applyConfiguration(
  context: DaemonContext,
  body: unknown,
): Promise<ConfigurationResult> {
  checkServing(context);
  const change = parseBody(configurationChange, body);
  if (!context.state.changeHistory.get(change.changeId)) {
    checkVersions(context, change.edits);
  }
  const applied = await appendCommand(context, change.changeId, {
    type: 'configured',
    change,
  });
  return conclude(context, change, applied);
}

/** Takes a failure domain out of service, or brings it back. */
export async function setDomainState(
  context: DaemonContext,
  domainId: string,
  state: Domain['state'],
  author: string,
): Promise<ConfigurationResult> {
  checkServing(context);
  const domain = context.state.configuration.domains.get(domainId);
  if (!domain) {
    throw new Failure('not-found', {kind: 'failure domain', id: domainId});
  }
  const entity = `domain/${domainId}`;
  const baseVersion = context.state.getEntityVersion(entity);
  const change: ConfigurationChange = {
    changeId: `${entity}-${state}-after-${baseVersion}`,
    author,
    edits: [{entity, baseVersion, value: {...domain, state}}],
  };
  return state === 'in-service'
    ? applyConfiguration(context, change)
    : takeOut(context, entity, change);
}

/**
 * Peers hold back starts at once; the record, which makes the take-out last, is
 * appended however long the log is down. Throws `take-out-pending` when the
 * log has not taken it in time.
 */
async function takeOut(
  context: DaemonContext,
  entity: string,
  change: ConfigurationChange,
): Promise<ConfigurationResult> {
  const {author: by, changeId: id} = change;
  context.mesh.addHold({entity, by, id});
  context.scheduler.requestPass();
  const recorded = context.writer.append(
    {type: 'configured', change},
    {deadline: Infinity},
  );
  recorded.catch(error => {
    const problem = describeError(error);
    context.logger.error('take-out-not-recorded', {entity, problem});
  });
  const limit = new AbortController();
  const {appendTimeoutMs} = context.settings.timings;
  const late = context.clock
    .sleep(appendTimeoutMs, limit.signal)
    .then(() => undefined);
  const applied = await Promise.race([recorded, late]).finally(() =>
    limit.abort(),
  );
  if (!applied) {
    throw new Failure('take-out-pending', {entity});
  }
  return conclude(context, change, applied);
}

/** Says what became of a change that the fold has seen. */
function conclude(
  context: DaemonContext,
  change: ConfigurationChange,
  applied: FoldResult,
): ConfigurationResult {
  context.logger.info('configured', {
    changeId: change.changeId,
    author: change.author,
    accepted: applied.accepted,
    problem: applied.problem?.message,
  });
  if (!applied.accepted) {
    throw (
      applied.problem ??
      new Failure('config-invalid', {problem: applied.rejection ?? 'rejected'})
    );
  }
  return describeResult(context, change, applied.offset);
}

/**
 * Finds conflicts early, before the log is troubled; the fold decides. A change
 * that was decided before keeps its verdict, however the versions went on.
 */
function checkVersions(context: DaemonContext, edits: readonly Edit[]): void {
  for (const {entity, baseVersion} of edits) {
    const currentVersion = context.state.getEntityVersion(entity);
    if (currentVersion > baseVersion) {
      throw new Failure('config-conflict', {
        entity,
        currentVersion,
        baseVersion,
      });
    }
  }
}

function describeResult(
  context: DaemonContext,
  change: ConfigurationChange,
  offset: number,
): ConfigurationResult {
  const versions = Object.fromEntries(
    change.edits.map(({entity}) => [
      entity,
      context.state.getEntityVersion(entity),
    ]),
  );
  return {changeId: change.changeId, offset, versions};
}
