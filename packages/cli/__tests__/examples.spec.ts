import {readdirSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import t from 'tap';
import {record} from '@galenavalve/model';
import {ExitCode, runCommandLine} from '../src/index.js';
import {buildJobRequest} from '../src/input/job_input.js';
import {loadSettings} from '../src/input/settings.js';

// Compiled specs lie in packages/cli/dist/__tests__.
const examples = fileURLToPath(
  new URL('../../../../examples/', import.meta.url),
);
const notJobs = ['cluster.jsonc', 'daemon.jsonc', 'galenavalve.jsonc'];

t.test("the record in the operators' pages is valid", async t => {
  const page = fileURLToPath(
    new URL('../docs/operators/configuration.md', `file://${examples}`),
  );
  const [, block = ''] = /```json\n(.*?)```/s.exec(
    readFileSync(page, 'utf8'),
  ) as RegExpExecArray;
  t.same(record.safeParse(JSON.parse(block)).error, undefined);
});

for (const user of readdirSync(examples)) {
  const dir = `${examples}${user}`;
  t.test(`the examples of ${user}`, async t => {
    t.test('are a configuration that is accepted', async t => {
      let out = '';
      const exitCode = await runCommandLine(['check', `${dir}/cluster.jsonc`], {
        environment: {},
        writeOut: text => (out += text),
        writeError: text => (out += text),
      });
      t.equal(exitCode, ExitCode.ok, out);
    });

    t.test('are jobs that can be submitted', async t => {
      const jobs = readdirSync(dir).filter(file => !notJobs.includes(file));
      t.ok(jobs.length > 0);
      for (const file of jobs) {
        t.ok(buildJobRequest(`${dir}/${file}`, {}, 0), file);
      }
    });

    t.test('are settings of the command line', async t => {
      const settings = `${dir}/galenavalve.jsonc`;
      t.equal(loadSettings({settings}, {}).entries.length, 3);
    });
  });
}
