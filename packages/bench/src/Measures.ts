/** Measures of a run, as the design page names them. */
import type * as CaseFile from './CaseFile.js';
import * as Run from './Run.js';

/** Measures of one class. */
export interface ClassMeasures {
  readonly classId: string;
  readonly tier: number;
  readonly offered: number;
  /** Share of the offered requests that were answered within their targets. */
  readonly attainment: number;
  readonly firstTokenP95Ms: number | undefined;
  readonly refused: number;
  readonly abandoned: number;
  readonly broken: number;
  /** Windows of 10 s with requests of the class and without a token for any of them. */
  readonly idleWindows: number;
}

/** Measures of a run. */
export interface Measures {
  readonly policy: string;
  readonly classes: readonly ClassMeasures[];
  /** Tokens per second of answers within their targets. */
  readonly goodputTokensPerSecond: number;
  readonly wastedShare: number;
  readonly worstAccount: string;
  /** Service over fair share of the worst-served account. */
  readonly worstAccountShare: number;
  readonly spendCents: number;
  readonly centsPerMillionGoodTokens: number;
  readonly cheapShare: number;
  readonly resumed: number;
  readonly broken: number;
  /** Mean error of the estimated load of a server, and of the last report, in requests. */
  readonly loadError: number | undefined;
  readonly reportError: number | undefined;
  readonly refusedAfterP95Ms: number | undefined;
  readonly refusals: Readonly<Record<string, number>>;
  readonly orders: readonly string[];
}

function computeMean(values: readonly number[]): number | undefined {
  if (values.length === 0) return undefined;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function computeQuantile(values: readonly number[], quantile: number): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))];
}

function getWork({ request }: Run.RequestRecord): number {
  return request.callMs === undefined ? request.answerTokens : 1;
}

/** Tells whether a request was answered within its targets. */
export function isAttained({
  delivered, firstTokenMs, lastTokenAtMs, outcome, request,
}: Run.RequestRecord): boolean {
  if (outcome !== 'done' || firstTokenMs === undefined) return false;
  const streamedMs = lastTokenAtMs - request.atMs - firstTokenMs;
  const gapMs = delivered > 1 ? streamedMs / (delivered - 1) : 0;
  return firstTokenMs <= request.class.firstTokenMs && gapMs <= request.class.betweenTokensMs;
}

interface Claim {
  readonly account: string;
  readonly demand: number;
  readonly weight: number;
}

/** Computes the max-min fair shares of an amount by weight, none above its demand. */
export function computeFairShares(
  claims: readonly Claim[],
  amount: number,
): ReadonlyMap<string, number> {
  const weights = claims.reduce((sum, { weight }) => sum + weight, 0);
  const level = amount / Math.max(weights, 1e-9);
  const small = claims.filter(({ demand, weight }) => demand <= level * weight);
  if (small.length === 0 || small.length === claims.length) {
    return new Map(claims.map(({ account, demand, weight }) => [
      account, Math.min(demand, level * weight),
    ]));
  }
  const used = small.reduce((sum, { demand }) => sum + demand, 0);
  return new Map([
    ...small.map(({ account, demand }) => [account, demand] as const),
    ...computeFairShares(claims.filter((claim) => !small.includes(claim)), amount - used),
  ]);
}

function findWorstAccount(
  { accounts, classes }: CaseFile.Deployment,
  run: Run.RunRecord,
): { readonly account: string; readonly share: number } {
  const groups = [...new Set(classes.map(({ pool, tier }) => `${pool} ${tier}`))];
  const totals = new Map(accounts.map(({ id }) => [id, { fair: 0, served: 0 }]));
  groups.forEach((group) => {
    const members = run.requests.filter(({ request }) => (
      `${request.class.pool} ${request.class.tier}` === group
    ));
    const claims = accounts.map(({ id, weight }) => ({
      account: id,
      demand: members.filter(({ request }) => request.account.id === id)
        .reduce((sum, record) => sum + getWork(record), 0),
      weight,
    }));
    const getServed = (id: string): number => run.served.get(`${group} ${id}`) ?? 0;
    const amount = accounts.reduce((sum, { id }) => sum + getServed(id), 0);
    computeFairShares(claims, amount).forEach((fair, id) => {
      const total = totals.get(id) ?? { fair: 0, served: 0 };
      totals.set(id, { fair: total.fair + fair, served: total.served + getServed(id) });
    });
  });
  return [...totals]
    .filter(([, { fair }]) => fair > 0)
    .map(([account, { fair, served }]) => ({ account, share: served / fair }))
    .reduce((worst, one) => (one.share < worst.share ? one : worst), {
      account: '', share: Infinity,
    });
}

function countIdleWindows(run: Run.RunRecord, classId: string): number {
  const windows = new Set(run.requests
    .filter(({ request }) => request.class.id === classId)
    .map(({ request }) => Math.floor(request.atMs / Run.PROGRESS_WINDOW_MS)));
  return [...windows].filter((window) => run.progress.get(window)?.has(classId) !== true).length;
}

/** Computes the measures of a run. */
export function computeMeasures(
  deployment: CaseFile.Deployment,
  run: Run.RunRecord,
): Measures {
  const models = run.requests.filter(({ request }) => request.callMs === undefined);
  const good = models.filter(isAttained).reduce((sum, { delivered }) => sum + delivered, 0);
  const generated = models.reduce((sum, { delivered }) => sum + delivered, 0);
  const wasted = models.filter(({ outcome }) => outcome !== 'done')
    .reduce((sum, { delivered }) => sum + delivered, 0);
  const worst = findWorstAccount(deployment, run);
  const refused = run.requests.filter(({ outcome }) => outcome === 'refused');
  const { cheap, dear } = run.tokensByKind;
  return {
    broken: run.requests.filter(({ outcome }) => outcome === 'broken').length,
    centsPerMillionGoodTokens: (run.costCents * 1e6) / Math.max(1, good),
    cheapShare: cheap / Math.max(1, cheap + dear),
    classes: deployment.classes.map(({ id, tier }) => {
      const members = run.requests.filter(({ request }) => request.class.id === id);
      const count = (outcome: Run.Outcome): number => (
        members.filter((record) => record.outcome === outcome).length
      );
      return {
        abandoned: count('abandoned'),
        attainment: members.filter(isAttained).length / Math.max(1, members.length),
        broken: count('broken'),
        classId: id,
        firstTokenP95Ms: computeQuantile(
          members.flatMap(({ firstTokenMs }) => firstTokenMs ?? []),
          0.95,
        ),
        idleWindows: countIdleWindows(run, id),
        offered: members.length,
        refused: count('refused'),
        tier,
      };
    }),
    goodputTokensPerSecond: (good * 1_000) / run.durationMs,
    loadError: computeMean(run.loadErrors),
    orders: run.orders,
    policy: run.policy,
    refusals: refused.reduce<Record<string, number>>((counts, { reason = '' }) => ({
      ...counts, [reason]: (counts[reason] ?? 0) + 1,
    }), {}),
    refusedAfterP95Ms: computeQuantile(refused.map(({ refusedAfterMs }) => refusedAfterMs), 0.95),
    reportError: computeMean(run.reportErrors),
    resumed: run.requests.filter(({ resumes }) => resumes > 0).length,
    spendCents: run.costCents,
    wastedShare: wasted / Math.max(1, generated),
    worstAccount: worst.account,
    worstAccountShare: worst.share,
  };
}

function formatNumber(value: number | undefined, digits: number): string {
  return value === undefined ? '-' : value.toFixed(digits);
}

/** Formats the measures of the policies of one case side by side. */
export function formatMeasures(title: string, list: readonly Measures[]): string {
  const rows: (readonly string[])[] = [
    [title, ...list.map(({ policy }) => policy)],
    ...(list[0]?.classes ?? []).flatMap(({ classId, tier }, index) => [
      [`attainment ${classId} (tier ${tier})`, ...list.map(({ classes }) => (
        formatNumber(classes[index]?.attainment, 3)
      ))],
      ['  first token p95 ms / refused / gave up / idle', ...list.map(({ classes }) => {
        const one = classes[index];
        return [
          formatNumber(one?.firstTokenP95Ms, 0), one?.refused, one?.abandoned, one?.idleWindows,
        ].join(' / ');
      })],
    ]),
    ['goodput tokens/s', ...list.map((one) => formatNumber(one.goodputTokensPerSecond, 0))],
    ['wasted work', ...list.map((one) => formatNumber(one.wastedShare, 4))],
    ['worst-served account', ...list.map((one) => (
      `${formatNumber(one.worstAccountShare, 3)} ${one.worstAccount}`
    ))],
    ['spend cents', ...list.map((one) => formatNumber(one.spendCents, 1))],
    ['cents per million good tokens', ...list.map((one) => (
      formatNumber(one.centsPerMillionGoodTokens, 1)
    ))],
    ['work on the cheap kind', ...list.map((one) => formatNumber(one.cheapShare, 3))],
    ['resumed / broken answers', ...list.map((one) => `${one.resumed} / ${one.broken}`)],
    ['load estimate / report error', ...list.map((one) => (
      `${formatNumber(one.loadError, 2)} / ${formatNumber(one.reportError, 2)}`
    ))],
    ['refused after p95 ms', ...list.map((one) => formatNumber(one.refusedAfterP95Ms, 0))],
    ['refusals', ...list.map(({ refusals }) => (
      Object.entries(refusals).map(([reason, count]) => `${reason} ${count}`).join(', ') || '-'
    ))],
  ];
  const widths = (rows[0] ?? []).map((_, column) => (
    Math.max(...rows.map((row) => (row[column] ?? '').length))
  ));
  return rows
    .map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd())
    .concat(list.flatMap(({ orders }) => orders))
    .join('\n');
}
