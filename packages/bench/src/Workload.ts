/** Requests of a case, drawn from its seed before the run, so that every policy gets the same. */
import * as Core from '@berylyoke/core';
import type * as CaseFile from './CaseFile.js';
import * as Random from './Random.js';

/** A request of the workload. */
export interface WorkloadRequest {
  readonly requestId: string;
  readonly atMs: number;
  readonly daemon: number;
  readonly account: CaseFile.CaseAccount;
  readonly class: CaseFile.CaseClass;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly callMs: number | undefined;
  readonly prefix: { readonly hash: number; readonly tokens: number } | undefined;
}

/** Part of a prompt that requests of one account and class have in common. */
const PREFIX_SHARE = 0.6;

interface Stream {
  readonly class: CaseFile.CaseClass;
  readonly account: string | undefined;
  readonly perSecond: number;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Computes the answer tokens (or calls) per second that a pool can serve with its mix. */
export function computeCapacity(
  {
    classes, engine, servers, serviceSlots,
  }: CaseFile.Deployment,
  pool: string,
): number {
  const count = servers.filter((group) => group.pool === pool)
    .reduce((sum, group) => sum + group.count, 0);
  const members = classes.filter((one) => one.pool === pool);
  const total = members.reduce((sum, { share }) => sum + share, 0);
  const mean = (get: (one: CaseFile.CaseClass) => number): number => (
    members.reduce((sum, one) => sum + (get(one) * one.share) / total, 0)
  );
  if (members.some(({ callMs }) => callMs !== undefined)) {
    return (count * serviceSlots * 1_000) / mean(({ callMs }) => callMs ?? 1);
  }
  // Prompts are read in the steps that also produce tokens; half the prefixes are taken as cached.
  const promptPerAnswer = mean(({ answerTokens, promptTokens }) => (
    (promptTokens * (1 - PREFIX_SHARE / 2)) / answerTokens
  ));
  const stepMs = engine.baseMs + engine.slots * engine.sequenceMs
    + engine.slots * promptPerAnswer * engine.promptTokenMs;
  return (count * engine.slots * 1_000) / stepMs;
}

function listStreams(deployment: CaseFile.Deployment, one: CaseFile.Case): readonly Stream[] {
  const endMs = one.durationS * 1_000;
  const getWork = (of: CaseFile.CaseClass): number => (
    of.callMs === undefined ? of.answerTokens : 1
  );
  const spread = (
    { account, fromMs, toMs }: Pick<Stream, 'account' | 'fromMs' | 'toMs'>,
    members: readonly CaseFile.CaseClass[],
    load: number,
  ): readonly Stream[] => members.map((member) => {
    const total = members.filter(({ pool }) => pool === member.pool)
      .reduce((sum, { share }) => sum + share, 0);
    const work = computeCapacity(deployment, member.pool) * load * (member.share / total);
    return {
      account, class: member, fromMs, perSecond: work / getWork(member), toMs,
    };
  });
  return [
    ...spread({ account: undefined, fromMs: 0, toMs: endMs }, deployment.classes, one.load),
    ...one.extras.flatMap((extra) => spread(
      { account: extra.account, fromMs: extra.fromS * 1_000, toMs: extra.toS * 1_000 },
      deployment.classes.filter(({ callMs, id }) => (
        extra.class === undefined ? callMs === undefined : id === extra.class
      )),
      extra.load,
    )),
  ];
}

/** Builds the requests of a case in order of arrival. */
export function buildWorkload(
  deployment: CaseFile.Deployment,
  one: CaseFile.Case,
  seed: number,
): readonly WorkloadRequest[] {
  const draws = Random.createDraws(seed);
  const requests = listStreams(deployment, one).flatMap((stream) => {
    const list: Omit<WorkloadRequest, 'requestId'>[] = [];
    let atMs = stream.fromMs + draws.exponential(1_000 / stream.perSecond);
    while (atMs < stream.toMs) {
      const account = deployment.accounts.find(({ id }) => id === stream.account)
        ?? draws.pick(deployment.accounts, ({ share }) => share);
      const { answerTokens, callMs, promptTokens } = stream.class;
      const prompt = Math.max(1, Math.round(draws.logNormal(Math.max(1, promptTokens))));
      list.push({
        account,
        answerTokens: Math.max(1, Math.round(draws.logNormal(answerTokens))),
        atMs,
        callMs: callMs === undefined ? undefined : draws.logNormal(callMs),
        class: stream.class,
        daemon: Math.floor(draws.uniform() * deployment.daemons),
        prefix: callMs === undefined
          ? {
            hash: Core.hashText(`${account.id} ${stream.class.id}`),
            tokens: Math.min(prompt, Math.round(promptTokens * PREFIX_SHARE)),
          }
          : undefined,
        promptTokens: prompt,
      });
      atMs += draws.exponential(1_000 / stream.perSecond);
    }
    return list;
  });
  return requests
    .sort((a, b) => a.atMs - b.atMs)
    .map((request, index) => ({ ...request, requestId: `r${index}` }));
}
