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
 * Records a configuration change. Throws `config-conflict`, `config-invalid` or
 * `guarantee-shortfall` when the change was rejected as a whole.
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
  return resolveOutcome(context, change, applied);
}

/** Takes a failure domain out of service or brings it back into service. */
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
    : takeOutOfService(context, entity, change);
}

/**
 * Takes an entity out of service. A hold stops new starts on all peers
 * immediately; the record that makes the take-out durable is appended without a
 * deadline, however long the log is unavailable. Throws `take-out-pending` when
 * the log has not accepted the record within the append timeout.
 */
async function takeOutOfService(
  context: DaemonContext,
  entity: string,
  change: ConfigurationChange,
): Promise<ConfigurationResult> {
  const {author: by, changeId: id} = change;
  context.mesh.addHold({entity, by, id});
  context.scheduler.requestPass();
  const appending = context.writer.append(
    {type: 'configured', change},
    {deadline: Infinity},
  );
  appending.catch(error => {
    const problem = describeError(error);
    context.logger.error('take-out-not-recorded', {entity, problem});
  });
  const timeoutAbort = new AbortController();
  const {appendTimeoutMs} = context.settings.timings;
  const timeout = context.clock
    .sleep(appendTimeoutMs, timeoutAbort.signal)
    .then(() => undefined);
  const applied = await Promise.race([appending, timeout]).finally(() =>
    timeoutAbort.abort(),
  );
  if (!applied) {
    throw new Failure('take-out-pending', {entity});
  }
  return resolveOutcome(context, change, applied);
}

/** Logs the outcome of a folded change and returns its result. Throws the problem of a rejected change. */
function resolveOutcome(
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
  return createResult(context, change, applied.offset);
}

/**
 * Detects version conflicts before anything is appended to the log; the fold
 * has the final decision. Callers skip this for a change that the fold has
 * already decided, because its outcome stays the same when versions increase.
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

function createResult(
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
