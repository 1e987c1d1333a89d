import t from 'tap';
import {Failure, ERROR_TEMPLATES, isFailure} from '../src/index.js';

t.test('a failure', async t => {
  t.test('fills the details into its message', async t => {
    const failure = new Failure('workspace-limit', {
      workspace: 'escorts',
      count: 5,
    });
    t.equal(
      failure.message,
      'Workspace escorts has reached its limit with 5 waiting jobs. The job was not run.',
    );
    t.match(failure.remedy, 'send the request again');
    t.equal(failure.status, 429);
    t.ok(isFailure(failure, 'workspace-limit'));
  });

  t.test('has a remedy for every code', async t => {
    for (const [code, template] of Object.entries(ERROR_TEMPLATES)) {
      t.ok(template.remedy.length > 10, code);
    }
  });
});
