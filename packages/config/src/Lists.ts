/**
 * The lists that operators maintain: client accounts, plans, request classes, models and routes. A
 * list file is TOML with keys in snake case; the schema has the same keys in camel case.
 */
import * as Core from '@berylyoke/core';
import * as Schema from 'effect/Schema';

/** Number of service tiers; tier 0 is the highest. */
export const TIER_COUNT = 5;

/** Service tier of a request class; 0 is the highest. */
export const Tier = Schema.Int.pipe(Schema.between(0, TIER_COUNT - 1));

const PositiveMs = Schema.Number.pipe(Schema.positive());
const Share = Schema.Number.pipe(Schema.between(0, 1));

/** A class of requests with its priority, latency targets and minimum share of dispatches. */
export const RequestClass = Schema.Struct({
  id: Core.ListName,
  tier: Tier,
  /** Target for the first token, or the complete response of a plain service, in milliseconds. */
  firstTokenMs: PositiveMs,
  /** Target for the time between tokens, in milliseconds. */
  betweenTokensMs: Schema.optionalWith(PositiveMs, { default: () => 52 }),
  /** Minimum share of dispatches that the class gets when higher tiers are busy, from 0 to 1. */
  floorShare: Schema.optionalWith(Share, { default: () => 0.02 }),
  /** Maximum time in the queue before a request is refused, in milliseconds. */
  maxQueueMs: Schema.optionalWith(PositiveMs, { default: () => 30_000 }),
});
export type RequestClass = typeof RequestClass.Type;

/** Request classes, models and limits of the client accounts on a plan. */
export const Plan = Schema.Struct({
  id: Core.ListName,
  /** Weight of each account on this plan in fair queueing. */
  weight: Schema.optionalWith(Schema.Number.pipe(Schema.positive()), { default: () => 1 }),
  classes: Schema.NonEmptyArray(Core.ListName),
  models: Schema.optionalWith(Schema.Array(Core.ListName), { default: () => [] }),
  concurrentRequests: Schema.optionalWith(
    Schema.Int.pipe(Schema.positive()),
    { default: () => 1_000 },
  ),
  tokensPerMinute: Schema.optionalWith(
    Schema.Int.pipe(Schema.positive()),
    { default: () => 100_000_000 },
  ),
});
export type Plan = typeof Plan.Type;

/** A client account and its plan. */
export const ClientAccount = Schema.Struct({ id: Core.ListName, plan: Core.ListName });
export type ClientAccount = typeof ClientAccount.Type;

/** A model that callers may request; `defaultClass` applies if the request has no class. */
export const Model = Schema.Struct({ id: Core.ListName, defaultClass: Core.ListName });
export type Model = typeof Model.Type;

/** A route to a plain service. */
export const Route = Schema.Struct({
  path: Schema.String.pipe(Schema.pattern(/^\/[A-Za-z0-9/_.-]+$/)),
  methods: Schema.NonEmptyArray(Schema.Literal('DELETE', 'GET', 'PATCH', 'POST', 'PUT')),
  service: Core.ListName,
  class: Core.ListName,
  /** False if a call must be executed at most once, such as an order or a payment. */
  repeatable: Schema.Boolean,
  /** True if requests need no key. */
  open: Schema.optionalWith(Schema.Boolean, { default: () => false }),
  /** Query parameters that are forwarded to the service; all others are removed. */
  query: Schema.optionalWith(Schema.Array(Schema.String), { default: () => [] }),
});
export type Route = typeof Route.Type;

/** All lists that operators maintain. */
export const Lists = Schema.Struct({
  accounts: Schema.Array(ClientAccount),
  plans: Schema.Array(Plan),
  classes: Schema.Array(RequestClass),
  models: Schema.optionalWith(Schema.Array(Model), { default: () => [] }),
  routes: Schema.optionalWith(Schema.Array(Route), { default: () => [] }),
});
export type Lists = typeof Lists.Type;
export type EncodedLists = typeof Lists.Encoded;

/** A reference to a name that is not defined, or a name that is defined twice. */
export interface ListProblem {
  readonly _tag: 'ListProblem';
  readonly path: readonly (number | string)[];
  readonly found: string;
  readonly allowed: string;
}

function findDuplicates(
  list: string,
  key: string,
  names: readonly string[],
): readonly ListProblem[] {
  const seen = new Set<string>();
  return names.flatMap((name, index) => {
    if (!seen.has(name)) {
      seen.add(name);
      return [];
    }
    return [{
      _tag: 'ListProblem' as const,
      allowed: 'a name that is not used yet',
      found: name,
      path: [list, index, key],
    }];
  });
}

/** Checks that each name is defined only once and that every reference is to a defined name. */
export function checkReferences(lists: Lists): readonly ListProblem[] {
  const plans = new Set(lists.plans.map(({ id }) => id));
  const classes = new Set(lists.classes.map(({ id }) => id));
  const models = new Set(lists.models.map(({ id }) => id));
  const checkName = (
    known: ReadonlySet<string>,
    found: string,
    path: readonly (number | string)[],
  ): readonly ListProblem[] => (known.has(found) ? [] : [{
    _tag: 'ListProblem', allowed: `one of: ${[...known].join(', ')}`, found, path,
  }]);
  return [
    ...findDuplicates('accounts', 'id', lists.accounts.map(({ id }) => id)),
    ...findDuplicates('plans', 'id', lists.plans.map(({ id }) => id)),
    ...findDuplicates('classes', 'id', lists.classes.map(({ id }) => id)),
    ...findDuplicates('models', 'id', lists.models.map(({ id }) => id)),
    ...findDuplicates('routes', 'path', lists.routes.map(({ path }) => path)),
    ...lists.accounts.flatMap(({ plan }, i) => checkName(plans, plan, ['accounts', i, 'plan'])),
    ...lists.plans.flatMap((plan, i) => [
      ...plan.classes.flatMap((name, j) => checkName(classes, name, ['plans', i, 'classes', j])),
      ...plan.models.flatMap((name, j) => checkName(models, name, ['plans', i, 'models', j])),
    ]),
    ...lists.models.flatMap(({ defaultClass }, i) => (
      checkName(classes, defaultClass, ['models', i, 'defaultClass'])
    )),
    ...lists.routes.flatMap((route, i) => checkName(classes, route.class, ['routes', i, 'class'])),
  ];
}
