/**
 * Counters and histograms of requests. Each daemon has its own registry; latencies are kept in HDR
 * histograms, whose quantiles are computed when the metrics are scraped.
 */
import type * as Core from '@berylyoke/core';
import * as Hdr from 'hdr-histogram-js';
import * as PromClient from 'prom-client';
import type * as Refusal from './Refusal.js';

const QUANTILES = [0.5, 0.9, 0.95, 0.99] as const;
const MICROS_PER_MS = 1_000;
/** Ten minutes; longer latencies are recorded as this value. */
const HIGHEST_MICROS = 600_000_000;
const MAX_PERCENT = 100;

/** Latencies that are observed for each request class, with their help texts. */
export const LATENCIES = {
  betweenTokens: 'mean time between the tokens of one answer',
  firstToken: 'time from receiving a request to its first token or whole answer',
  queue: 'time from receiving a request to its dispatch',
} as const;

export type Latency = keyof typeof LATENCIES;

/** Metrics of one daemon. */
export interface RequestMetrics {
  readonly registry: PromClient.Registry;
  readonly observe: (latency: Latency, requestClass: string, valueMs: Core.Millis) => void;
  readonly addAnswer: (requestClass: string, result: string, tokens: number) => void;
  readonly addDefect: (cause: Core.DefectCause) => void;
  /** Counts a request or connection that the guard of a listener ended. */
  readonly addGuardEnd: (listener: string, reason: Core.GuardReason) => void;
  readonly addRefusal: (code: Refusal.RefusalCode) => void;
  readonly addRetry: (kind: 'denied' | 'restart' | 'resume') => void;
}

type Histograms = ReadonlyMap<string, Hdr.Histogram>;

function createLatencyObserver(registry: PromClient.Registry): RequestMetrics['observe'] {
  const histograms = new Map<Latency, Map<string, Hdr.Histogram>>();
  const setQuantiles = (gauge: PromClient.Gauge, byClass: Histograms): void => {
    byClass.forEach((histogram, name) => QUANTILES.forEach((quantile) => gauge.set(
      { class: name, quantile: String(quantile) },
      histogram.getValueAtPercentile(quantile * MAX_PERCENT) / MICROS_PER_MS,
    )));
  };
  (Object.keys(LATENCIES) as Latency[]).forEach((latency) => {
    const byClass = new Map<string, Hdr.Histogram>();
    histograms.set(latency, byClass);
    const suffix = latency.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
    registry.registerMetric(new PromClient.Gauge({
      collect() {
        setQuantiles(this, byClass);
      },
      help: `${LATENCIES[latency]}, quantiles in milliseconds since the start`,
      labelNames: ['class', 'quantile'],
      name: `berylyoke_${suffix}_ms`,
      registers: [],
    }));
  });
  return (latency, requestClass, valueMs) => {
    const byClass = histograms.get(latency);
    if (byClass === undefined) return;
    let histogram = byClass.get(requestClass);
    if (histogram === undefined) {
      histogram = Hdr.build({
        highestTrackableValue: HIGHEST_MICROS, numberOfSignificantValueDigits: 2,
      });
      byClass.set(requestClass, histogram);
    }
    const micros = Math.round(valueMs * MICROS_PER_MS);
    histogram.recordValue(Math.min(HIGHEST_MICROS, Math.max(1, micros)));
  };
}

/** Creates the metrics; `countActive` is called at each scrape. */
export function createRequestMetrics(countActive: () => number): RequestMetrics {
  const registry = new PromClient.Registry();
  PromClient.collectDefaultMetrics({ register: registry });
  const answers = new PromClient.Counter({
    help: 'answers by class and result',
    labelNames: ['class', 'result'],
    name: 'berylyoke_answers_total',
    registers: [registry],
  });
  const tokens = new PromClient.Counter({
    help: 'tokens relayed by class',
    labelNames: ['class'],
    name: 'berylyoke_tokens_total',
    registers: [registry],
  });
  const refusals = new PromClient.Counter({
    help: 'refusals by code',
    labelNames: ['code'],
    name: 'berylyoke_refusals_total',
    registers: [registry],
  });
  const defects = new PromClient.Counter({
    help: 'unexpected errors of the daemon itself, by cause',
    labelNames: ['cause'],
    name: 'berylyoke_unexpected_errors_total',
    registers: [registry],
  });
  const guardEnds = new PromClient.Counter({
    help: 'requests and connections ended by the limits of a listener',
    labelNames: ['listener', 'reason'],
    name: 'berylyoke_listener_ends_total',
    registers: [registry],
  });
  const retries = new PromClient.Counter({
    help: 'further attempts by kind; denied ones exceeded the retry budget',
    labelNames: ['kind'],
    name: 'berylyoke_retries_total',
    registers: [registry],
  });
  registry.registerMetric(new PromClient.Gauge({
    collect() {
      this.set(countActive());
    },
    help: 'requests in progress',
    name: 'berylyoke_active_requests',
    registers: [],
  }));
  return {
    addAnswer: (requestClass, result, count) => {
      answers.inc({ class: requestClass, result });
      tokens.inc({ class: requestClass }, count);
    },
    addDefect: (cause) => defects.inc({ cause }),
    addGuardEnd: (listener, reason) => guardEnds.inc({ listener, reason }),
    addRefusal: (code) => refusals.inc({ code }),
    addRetry: (kind) => retries.inc({ kind }),
    observe: createLatencyObserver(registry),
    registry,
  };
}
