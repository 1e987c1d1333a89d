/** `galenavalve check`. */
import type {Entity} from '@galenavalve/model';
import {ExitCode} from '../exit_code.js';
import {readDesiredConfiguration} from '../input/desired_configuration.js';
import type {OfflineSession} from '../session.js';

/** Result of a check. */
export interface CheckResult {
  entities: number;
  /** What is wrong, as sentences. */
  problems: string[];
}

/** Checks a configuration file: its schema and what its entities name. */
export async function checkConfiguration(
  {output}: OfflineSession,
  file: string,
): Promise<ExitCode> {
  const desired = readDesiredConfiguration(file);
  const entities = [...desired.entities.values()].map(({value}) => value);
  const problems = findMissingDomains(entities);
  const result: CheckResult = {entities: entities.length, problems};
  output.printResult(result, renderCheck);
  return problems.length === 0 ? ExitCode.ok : ExitCode.rejected;
}

function findMissingDomains(entities: readonly Entity[]): string[] {
  const domains = new Set<string>();
  for (const value of entities) {
    if (value.kind === 'domain') {
      domains.add(value.id);
    }
  }
  return entities.flatMap(value =>
    namedDomains(value)
      .filter(id => !domains.has(id))
      .map(
        id =>
          `${value.kind}/${value.id} names domain ${id}, which is not listed`,
      ),
  );
}

function namedDomains(value: Entity): string[] {
  switch (value.kind) {
    case 'target':
      return [value.domain];
    case 'workspace':
      return [
        ...value.guarantees.flatMap(({domain}) => domain ?? []),
        ...(value.permittedDomains ?? []),
      ];
    default:
      return [];
  }
}

function renderCheck({entities, problems}: CheckResult): string {
  return problems.length === 0
    ? `${entities} entities, no problems`
    : problems.join('\n');
}
