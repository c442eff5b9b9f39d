/**
 * Entry point of `npm run demo -- --port N`. Prints the description of the system as one JSON line
 * and runs until SIGINT or SIGTERM.
 */
import * as util from 'node:util';
import * as DemoSystem from './DemoSystem.js';

const EXIT_BAD_INPUT = 2;
const MAX_PORT = 65_534;

async function runDemo(options: DemoSystem.DemoOptions): Promise<void> {
  const startPromise = DemoSystem.startDemoSystem(options);
  let stopPromise: Promise<void> | undefined;
  const stop = (): void => {
    stopPromise ??= startPromise.then((system) => system.stop());
    stopPromise.catch(() => {
      process.exitCode = 1;
    });
  };
  process.on('SIGINT', stop);
  process.on('SIGTERM', stop);
  const system = await startPromise;
  process.stdout.write(`${JSON.stringify(system.description)}\n`);
  system.daemons.forEach(({ exited }) => {
    exited.then((status) => {
      if (stopPromise !== undefined) return;
      process.stderr.write(`demo: a daemon exited unexpectedly (${status})\n`);
      process.exitCode = 1;
      stop();
    }).catch(stop);
  });
}

const { values } = util.parseArgs({
  options: {
    'answer-tokens': { default: '32', type: 'string' },
    'between-tokens-ms': { default: '5', type: 'string' },
    engines: { default: '3', type: 'string' },
    'first-token-ms': { default: '20', type: 'string' },
    port: { default: '8080', type: 'string' },
    profile: { type: 'string' },
    slots: { default: '32', type: 'string' },
  },
});
const port = Number(values.port);

if (!Number.isInteger(port) || port < 0 || port > MAX_PORT) {
  process.stderr.write(`demo: --port takes a whole number from 0 to ${MAX_PORT}\n`);
  process.exitCode = EXIT_BAD_INPUT;
} else {
  runDemo({
    daemonNodeArgs: values.profile === undefined
      ? []
      : ['--cpu-prof', `--cpu-prof-dir=${values.profile}`],
    engine: {
      answerTokens: Number(values['answer-tokens']),
      betweenTokensMs: Number(values['between-tokens-ms']),
      firstTokenMs: Number(values['first-token-ms']),
      slots: Number(values.slots),
    },
    engineCount: Number(values.engines),
    port,
  }).catch((error: unknown) => {
    process.stderr.write(`demo: ${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = 1;
  });
}
