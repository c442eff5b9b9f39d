/**
 * Decides about test runs: prints the known failures, and fails on any other one.
 * Arguments: the list of known failures, then the report and the exit status of each run.
 */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';

const ENTRY_PREFIX = 'test: ';

async function readKnown(file) {
  const text = await fs.readFile(file, 'utf8').catch(() => '');
  return text.split('\n')
    .filter((line) => line.startsWith(ENTRY_PREFIX))
    .map((line) => line.slice(ENTRY_PREFIX.length));
}

/** Lists the failures of a report; without a report the run itself failed and this rejects. */
async function listFailed(report) {
  const { testResults } = JSON.parse(await fs.readFile(report, 'utf8'));
  return testResults.flatMap(({ assertionResults, name, status }) => {
    const file = path.relative(process.cwd(), name);
    const tests = assertionResults.filter((each) => each.status === 'failed')
      .map(({ fullName }) => `${file} > ${fullName}`);
    // A file that fails without a failed test could not be loaded or set up.
    return tests.length === 0 && status === 'failed' ? [file] : tests;
  });
}

const [list, ...runs] = process.argv.slice(2);
const known = await readKnown(list);
known.forEach((name) => process.stdout.write(`known red: ${name}\n`));

/** Prints the failures of one run; returns whether all of them are known. */
async function checkRun(report, status) {
  if (status === '0') return true;
  const failed = await listFailed(report);
  const others = failed.filter((name) => !known.includes(name));
  failed.filter((name) => known.includes(name))
    .forEach((name) => process.stdout.write(`failed, passed over: ${name}\n`));
  others.forEach((name) => process.stdout.write(`failed: ${name}\n`));
  if (failed.length === 0) process.stdout.write('the run failed without a failed test\n');
  return others.length === 0 && failed.length > 0;
}

const results = await Promise.all(
  runs.flatMap((report, index) => (index % 2 === 0 ? [checkRun(report, runs[index + 1])] : [])),
);
if (results.length === 0 || results.includes(false)) process.exitCode = 1;
