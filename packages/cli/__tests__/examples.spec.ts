import {readdirSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import t from 'tap';
import {record} from '@galenavalve/model';
import {ExitCode, runCommandLine} from '../src/index.js';
import {buildJobRequest} from '../src/input/job_input.js';
import {loadSettings} from '../src/input/settings.js';

// Relative to the compiled specs in packages/cli/dist/__tests__.
const EXAMPLES_DIRECTORY = fileURLToPath(
  new URL('../../../../examples/', import.meta.url),
);
const NON_JOB_FILES = ['cluster.jsonc', 'daemon.jsonc', 'galenavalve.jsonc'];

t.test(
  'the example record in the documentation for operators is valid',
  async t => {
    const page = fileURLToPath(
      new URL(
        '../docs/operators/configuration.md',
        `file://${EXAMPLES_DIRECTORY}`,
      ),
    );
    const [, block = ''] = /```json\n(.*?)```/s.exec(
      readFileSync(page, 'utf8'),
    ) as RegExpExecArray;
    t.same(record.safeParse(JSON.parse(block)).error, undefined);
  },
);

for (const example of readdirSync(EXAMPLES_DIRECTORY)) {
  const directory = `${EXAMPLES_DIRECTORY}${example}`;
  t.test(`the files of example ${example}`, async t => {
    t.test('include a valid configuration', async t => {
      let out = '';
      const exitCode = await runCommandLine(
        ['check', `${directory}/cluster.jsonc`],
        {
          environment: {},
          writeOut: text => (out += text),
          writeError: text => (out += text),
        },
      );
      t.equal(exitCode, ExitCode.ok, out);
    });

    t.test('include valid job requests', async t => {
      const jobFiles = readdirSync(directory).filter(
        file => !NON_JOB_FILES.includes(file),
      );
      t.ok(jobFiles.length > 0);
      for (const file of jobFiles) {
        t.ok(buildJobRequest(`${directory}/${file}`, {}, 0), file);
      }
    });

    t.test('include valid settings of the command line', async t => {
      const settings = `${directory}/galenavalve.jsonc`;
      t.equal(loadSettings({settings}, {}).entries.length, 3);
    });
  });
}
