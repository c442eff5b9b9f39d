/** Case files of the measuring command: a deployment, its demand, and what happens to it. */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as url from 'node:url';
import * as Config from '@berylyoke/config';
import * as Either from 'effect/Either';
import * as Schema from 'effect/Schema';

const Positive = Schema.Number.pipe(Schema.positive());
const NonNegative = Schema.Number.pipe(Schema.nonNegative());
const PositiveInt = Schema.Int.pipe(Schema.positive());

/** Timing of a model engine with continuous batching. */
export const EngineTiming = Schema.Struct({
  slots: PositiveInt,
  /** Step of a batch: base, for each running sequence and for each prompt token read in it. */
  baseMs: Positive,
  sequenceMs: NonNegative,
  promptTokenMs: NonNegative,
  /** Prompt tokens read in one step. */
  chunkTokens: PositiveInt,
  cacheTokens: PositiveInt,
});
export type EngineTiming = typeof EngineTiming.Type;

/** Servers of one data centre, kind and pool. */
export const ServerGroup = Schema.Struct({
  pool: Schema.String,
  dataCentre: Schema.String,
  kind: Schema.Literal('cheap', 'dear'),
  count: PositiveInt,
  priceCents: Positive,
});
export type ServerGroup = typeof ServerGroup.Type;

/** A class with its demand. */
export const CaseClass = Schema.Struct({
  id: Schema.String,
  pool: Schema.String,
  tier: Schema.Int,
  firstTokenMs: Positive,
  betweenTokensMs: Schema.optionalWith(Positive, { default: () => 52 }),
  maxQueueMs: Positive,
  floorShare: Schema.optionalWith(NonNegative, { default: () => 0.02 }),
  /** Part of its pool's load. */
  share: Positive,
  /** Means; lengths are log-normal. */
  promptTokens: NonNegative,
  answerTokens: Positive,
  /** Mean time of a call of a plain service. */
  callMs: Schema.optional(Positive),
  repeatable: Schema.optionalWith(Schema.Boolean, { default: () => true }),
});
export type CaseClass = typeof CaseClass.Type;

/** An account; `share` is its part of the demand. */
export const CaseAccount = Schema.Struct({
  id: Schema.String, share: Positive, weight: Schema.optionalWith(Positive, { default: () => 1 }),
});
export type CaseAccount = typeof CaseAccount.Type;

const Span = { fromS: NonNegative, toS: Positive };

/** Demand on top of the usual, in units of the pool's capacity. */
export const Extra = Schema.Struct({
  ...Span,
  load: Positive,
  class: Schema.optional(Schema.String),
  account: Schema.optional(Schema.String),
});

/** A fault of one server (by number) or of the cheap servers of a data centre. */
export const Fault = Schema.Struct({
  ...Span,
  kind: Schema.Literal('crash', 'reclaim', 'slow'),
  server: Schema.optional(Schema.Int),
  dataCentre: Schema.optional(Schema.String),
  factor: Schema.optionalWith(Positive, { default: () => 1 }),
});
export type Fault = typeof Fault.Type;

/** One case. */
export const Case = Schema.Struct({
  name: Schema.String,
  /** Demand in units of the capacity of each model pool. */
  load: Positive,
  durationS: Schema.optionalWith(Positive, { default: () => 60 }),
  reportLagMs: Schema.optionalWith(NonNegative, { default: () => 500 }),
  /** Share of load reports and cache events that are lost. */
  reportLoss: Schema.optionalWith(NonNegative, { default: () => 0.05 }),
  purchases: Schema.optionalWith(Schema.Boolean, { default: () => false }),
  extras: Schema.optionalWith(Schema.Array(Extra), { default: () => [] }),
  faults: Schema.optionalWith(Schema.Array(Fault), { default: () => [] }),
  /** No orders can be given in this span. */
  logOut: Schema.optional(Schema.Struct(Span)),
});
export type Case = typeof Case.Type;

/** A deployment and its cases. */
export const Deployment = Schema.Struct({
  name: Schema.String,
  seeds: Schema.NonEmptyArray(Schema.Int),
  daemons: PositiveInt,
  /** Tiers up to this one must hold after the loss of a cheap data centre. */
  mustHoldTier: Schema.Int,
  /** Time from an order to a server that runs. */
  leadMs: Positive,
  noticeMs: Positive,
  listLagMs: Positive,
  engine: EngineTiming,
  serviceSlots: PositiveInt,
  servers: Schema.NonEmptyArray(ServerGroup),
  classes: Schema.NonEmptyArray(CaseClass),
  accounts: Schema.NonEmptyArray(CaseAccount),
  cases: Schema.NonEmptyArray(Case),
});
export type Deployment = typeof Deployment.Type;

/** A case with its deployment. */
export interface LoadedCase {
  readonly deployment: Deployment;
  readonly case: Case;
}

/** No case has the name that was asked for. */
export interface UnknownCase {
  readonly _tag: 'UnknownCase';
  readonly name: string;
  readonly known: readonly string[];
}

const CASES_DIRECTORY = path.join(path.dirname(url.fileURLToPath(import.meta.url)), '../cases');

/** Loads every case, named `deployment/case`, or fails with the problems of a file. */
export async function loadCases(): Promise<
  Either.Either<ReadonlyMap<string, LoadedCase>, Config.TomlError>
> {
  const files = (await fs.readdir(CASES_DIRECTORY)).filter((file) => file.endsWith('.toml'));
  const deployments = await Promise.all(files.sort().map(async (file) => (
    Config.decodeToml(Deployment, file, await fs.readFile(path.join(CASES_DIRECTORY, file), 'utf8'))
  )));
  return Either.all(deployments).pipe(Either.map((list) => new Map(list.flatMap((deployment) => (
    deployment.cases.map((one) => [
      `${deployment.name}/${one.name}`, { case: one, deployment },
    ] as const)
  )))));
}
