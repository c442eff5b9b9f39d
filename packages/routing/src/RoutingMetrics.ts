/** Counters and latency histograms of the routing daemon, rendered as Prometheus text. */
import type * as Core from '@berylyoke/core';
import * as Hdr from 'hdr-histogram-js';
import * as PromClient from 'prom-client';
import type * as OrderPlan from './OrderPlan.js';
import type * as Ports from './Ports.js';

const PERCENTILES = [50, 90, 95, 99] as const;
const MICROS_PER_MS = 1_000;
/** Largest latency that is recorded, ten minutes; longer ones are recorded as this. */
const MAX_MICROS = 600_000_000;

/** Latencies that are recorded per service, with their descriptions. */
export const LATENCIES = {
  answer: 'time from the head of a request to the end of its answer',
  first: 'time from the head of a request to the first byte of its answer',
} as const;

/** Name of a latency. */
export type Latency = keyof typeof LATENCIES;

/** How an admission ended; `ended` if the request ended for another reason while it waited. */
export type AdmissionResult = 'ended' | 'refused' | 'sent';

/** Bounds of the differences between observed and predicted first tokens, in milliseconds. */
const ERROR_BUCKETS_MS = [-1_000, -300, -100, -30, 0, 30, 100, 300, 1_000, 3_000];

/** Bounds of the time for which requests wait in the daemon, in milliseconds. */
const WAIT_BUCKETS_MS = [0, 25, 50, 100, 200, 400, 800];

/** Metrics of one daemon. */
export interface RoutingMetrics {
  readonly addRequest: (service: string, outcome: string) => void;
  readonly addAdmission: (
    service: string, result: AdmissionResult, reason: string, waitedMs: Core.Millis,
  ) => void;
  /** Records by how much a first token was later than predicted; negative if it was earlier. */
  readonly observeFirstTokenError: (service: string, errorMs: Core.Millis) => void;
  readonly addAttemptFailure: (service: string, reason: string) => void;
  readonly addDefect: (cause: Core.DefectCause) => void;
  /** Counts a request that a listener's guard refused, or a connection that it closed. */
  readonly addEndedClient: (listener: string, reason: Core.GuardReason) => void;
  readonly addDependency: (dependency: string, outcome: string) => void;
  readonly addOrder: (order: Ports.ServerOrder, answer: Ports.DutyAnswer) => void;
  readonly observe: (latency: Latency, service: string, valueMs: Core.Millis) => void;
  readonly render: () => Promise<string>;
}

/** Values that are read from the process when the metrics are rendered. */
export interface MetricSources {
  readonly countActive: () => number;
  readonly countCallerBytes: () => number;
  readonly countCallerConnections: () => number;
  readonly countBlockedParts: () => number;
  readonly countBlockedRequests: () => number;
  readonly countDroppedLogs: () => number;
  readonly countInvalidLoads: () => number;
  readonly countLimitedServers: () => number;
  readonly countWaiting: () => number;
  readonly countLoadReporters: () => number;
  /** Age of what is known of the load of the fleet; infinite if nothing is. */
  readonly getLoadAge: () => Core.Millis;
  /** Lists the plans of the server orders; empty unless this daemon holds the lease. */
  readonly listPlans: () => readonly OrderPlan.OrderDecision[];
}

/** Creates the metrics of a daemon. */
export function createRoutingMetrics(sources: MetricSources): RoutingMetrics {
  const registry = new PromClient.Registry();
  const registers = [registry];
  const requests = new PromClient.Counter({
    help: 'Requests by service and outcome',
    labelNames: ['service', 'outcome'],
    name: 'berylyoke_requests_total',
    registers,
  });
  const failures = new PromClient.Counter({
    help: 'Attempts at backend servers that failed, by reason',
    labelNames: ['service', 'reason'],
    name: 'berylyoke_attempt_failures_total',
    registers,
  });
  const defects = new PromClient.Counter({
    help: 'Unexpected errors of the daemon itself, by cause',
    labelNames: ['cause'],
    name: 'berylyoke_unexpected_errors_total',
    registers,
  });
  const endedClients = new PromClient.Counter({
    help: 'Misbehaving clients that were refused or whose connection was closed, by reason',
    labelNames: ['listener', 'reason'],
    name: 'berylyoke_ended_clients_total',
    registers,
  });
  const dependencies = new PromClient.Counter({
    help: 'Calls to the platform by dependency and outcome',
    labelNames: ['dependency', 'outcome'],
    name: 'berylyoke_dependency_calls_total',
    registers,
  });
  const orders = new PromClient.Counter({
    help: 'Orders of servers by service, data centre, kind and answer',
    labelNames: ['service', 'data_centre', 'kind', 'answer'],
    name: 'berylyoke_server_orders_total',
    registers,
  });
  const planGauge = new PromClient.Gauge({
    collect() {
      this.reset();
      sources.listPlans().forEach(({ plan, service }) => {
        const { missingServers, neededServers, replacementServers } = plan;
        this.set({ count: 'missing', service }, missingServers);
        this.set({ count: 'replacement', service }, replacementServers);
        // Absent while the demand is not known.
        if (neededServers !== undefined) this.set({ count: 'needed', service }, neededServers);
      });
    },
    help: 'Servers that the demand needs, that the base plan lacks, and that replace them',
    labelNames: ['service', 'count'],
    name: 'berylyoke_planned_servers',
    registers: [],
  });
  registry.registerMetric(planGauge);
  const registerGauge = (name: string, help: string, read: () => number): void => {
    registry.registerMetric(new PromClient.Gauge({
      collect() {
        this.set(read());
      },
      help,
      name,
      registers: [],
    }));
  };
  registerGauge('berylyoke_active_requests', 'Requests in progress', sources.countActive);
  registerGauge(
    'berylyoke_caller_connections',
    'Open connections of callers',
    sources.countCallerConnections,
  );
  registerGauge(
    'berylyoke_caller_held_bytes',
    'Bytes that the connections of callers hold together',
    sources.countCallerBytes,
  );
  registerGauge(
    'berylyoke_dropped_log_records',
    'Log records dropped because their reader was too slow',
    sources.countDroppedLogs,
  );
  registerGauge(
    'berylyoke_blocked_prompt_parts',
    'Prompt parts that crashed backend servers and are not sent to any',
    sources.countBlockedParts,
  );
  registerGauge(
    'berylyoke_blocked_requests',
    'Repeated requests that crashed backend servers and are not sent to any',
    sources.countBlockedRequests,
  );
  registerGauge(
    'berylyoke_limited_servers',
    'Backend servers that announce a request limit',
    sources.countLimitedServers,
  );
  registerGauge(
    'berylyoke_waiting_requests',
    'Requests that wait because their service is overloaded',
    sources.countWaiting,
  );
  registerGauge(
    'berylyoke_fleet_load_age_ms',
    'Age of the load of the fleet as known to this daemon; -1 if it is not known',
    () => {
      const ageMs = sources.getLoadAge();
      return Number.isFinite(ageMs) ? ageMs : -1;
    },
  );
  registerGauge(
    'berylyoke_fleet_load_reporters',
    'Daemons whose reports of load this daemon has',
    sources.countLoadReporters,
  );
  registerGauge(
    'berylyoke_fleet_load_invalid_entries',
    'Entries in reports of load that were ignored as invalid since the start',
    sources.countInvalidLoads,
  );
  const admissions = new PromClient.Counter({
    help: 'Requests to engines by the result of their admission and its reason',
    labelNames: ['service', 'result', 'reason'],
    name: 'berylyoke_admissions_total',
    registers,
  });
  const waits = new PromClient.Histogram({
    buckets: WAIT_BUCKETS_MS,
    help: 'Time for which requests waited for their admission, in milliseconds',
    labelNames: ['service', 'result'],
    name: 'berylyoke_admission_wait_ms',
    registers,
  });
  const errors = new PromClient.Histogram({
    buckets: ERROR_BUCKETS_MS,
    help: 'Observed less predicted time to the first token, in milliseconds',
    labelNames: ['service'],
    name: 'berylyoke_first_token_error_ms',
    registers,
  });
  const histograms = new Map<string, Hdr.Histogram>();
  const getHistogram = (key: string): Hdr.Histogram => {
    const known = histograms.get(key);
    if (known !== undefined) return known;
    const added = Hdr.build({
      bitBucketSize: 32, highestTrackableValue: MAX_MICROS, numberOfSignificantValueDigits: 2,
    });
    histograms.set(key, added);
    return added;
  };
  const latencies = new PromClient.Gauge({
    collect() {
      histograms.forEach((histogram, key) => {
        const [latency = '', service = ''] = key.split(' ');
        PERCENTILES.forEach((percentile) => this.set(
          { latency, quantile: String(percentile / 100), service },
          histogram.getValueAtPercentile(percentile) / MICROS_PER_MS,
        ));
      });
    },
    help: 'Quantiles of request latencies in milliseconds since the start',
    labelNames: ['latency', 'service', 'quantile'],
    name: 'berylyoke_latency_ms',
    registers: [],
  });
  registry.registerMetric(latencies);
  return {
    addAdmission: (service, result, reason, waitedMs) => {
      admissions.inc({ reason, result, service });
      waits.observe({ result, service }, waitedMs);
    },
    addAttemptFailure: (service, reason) => failures.inc({ reason, service }),
    addDefect: (cause) => defects.inc({ cause }),
    addDependency: (dependency, outcome) => dependencies.inc({ dependency, outcome }),
    addOrder: ({ dataCentre, isReclaimable, service }, answer) => orders.inc({
      answer, data_centre: dataCentre, kind: isReclaimable ? 'reclaimable' : 'lasting', service,
    }),
    addEndedClient: (listener, reason) => endedClients.inc({ listener, reason }),
    addRequest: (service, outcome) => requests.inc({ outcome, service }),
    observe: (latency, service, valueMs) => {
      const micros = Math.round(valueMs * MICROS_PER_MS);
      getHistogram(`${latency} ${service}`)
        .recordValue(Math.min(MAX_MICROS, Math.max(1, micros)));
    },
    observeFirstTokenError: (service, errorMs) => errors.observe({ service }, errorMs),
    render: () => registry.metrics(),
  };
}
