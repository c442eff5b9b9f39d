/**
 * Estimates of answer lengths in tokens, from the lengths of earlier answers of the same class and
 * account, else of the same class, else from a prior. Admission control uses a pessimistic quantile
 * and fair sharing the median; the charge of an account is corrected as tokens are delivered.
 */
import * as Histograms from 'hdr-histogram-js';

/** Estimated length of one answer. */
export interface LengthEstimate {
  readonly medianTokens: number;
  /** Length that an answer exceeds with probability 1 − `pessimisticQuantile`. */
  readonly pessimisticTokens: number;
  /** Which answers the estimate is based on. */
  readonly source: 'account' | 'class' | 'prior';
}

/** Options of the estimation. */
export interface LengthOptions {
  readonly pessimisticQuantile: number;
  /** Answers that an account or a class must have before its own lengths are used. */
  readonly minSamples: number;
  /** Answers per histogram; only the current and the previous histogram are kept. */
  readonly windowSamples: number;
  readonly priorTokens: number;
  readonly priorPessimisticTokens: number;
  /** Longer answers are counted with this length. */
  readonly maxTokens: number;
}

/** Records answer lengths and estimates the length of new answers. */
export interface LengthEstimates {
  readonly recordLength: (classId: string, account: string, answerTokens: number) => void;
  /** Estimates an answer length; `maxTokens` is the limit set by the caller, if any. */
  readonly estimateLength: (
    classId: string, account: string, maxTokens?: number,
  ) => LengthEstimate;
}

/** Default options. */
export const defaultLengthOptions: LengthOptions = {
  maxTokens: 131_072,
  minSamples: 20,
  pessimisticQuantile: 0.9,
  priorPessimisticTokens: 1_024,
  priorTokens: 256,
  windowSamples: 500,
};

interface LengthSeries {
  /** Receives new lengths; replaced when it holds `windowSamples` lengths. */
  current: Histograms.Histogram;
  /** Last replaced histogram; used until the current one holds half as many lengths. */
  previous: Histograms.Histogram;
  sampleCount: number;
  estimate: Omit<LengthEstimate, 'source'> | undefined;
}

/** Recorded answers of a series after which its quantiles are computed again. */
const SAMPLES_PER_ESTIMATE = 8;

function createHistogram(maxTokens: number): Histograms.Histogram {
  // With one significant digit, a histogram takes about 1 KB and a length is exact within 7 %.
  return Histograms.build({
    bitBucketSize: 16,
    highestTrackableValue: maxTokens,
    lowestDiscernibleValue: 1,
    numberOfSignificantValueDigits: 1,
  });
}

/** Creates estimates without samples. */
export function createLengthEstimates(
  options: LengthOptions = defaultLengthOptions,
): LengthEstimates {
  const series = new Map<string, LengthSeries>();

  const getSeries = (key: string): LengthSeries => {
    const existing = series.get(key);
    if (existing !== undefined) return existing;
    const created = {
      current: createHistogram(options.maxTokens),
      estimate: undefined,
      previous: createHistogram(options.maxTokens),
      sampleCount: 0,
    };
    series.set(key, created);
    return created;
  };

  const recordSample = (key: string, tokens: number): void => {
    const lengthSeries = getSeries(key);
    lengthSeries.current.recordValue(tokens);
    lengthSeries.sampleCount += 1;
    if (lengthSeries.current.totalCount >= options.windowSamples) {
      const { current, previous } = lengthSeries;
      previous.reset();
      lengthSeries.current = previous;
      lengthSeries.previous = current;
    }
    if (lengthSeries.sampleCount < options.minSamples) return;
    if (
      lengthSeries.estimate !== undefined
      && lengthSeries.sampleCount % SAMPLES_PER_ESTIMATE !== 0
    ) return;
    const { current, previous } = lengthSeries;
    const histogram = current.totalCount >= previous.totalCount / 2 ? current : previous;
    lengthSeries.estimate = {
      medianTokens: histogram.getValueAtPercentile(50),
      pessimisticTokens: histogram.getValueAtPercentile(options.pessimisticQuantile * 100),
    };
  };

  const prior = {
    medianTokens: options.priorTokens, pessimisticTokens: options.priorPessimisticTokens,
  };

  return {
    estimateLength: (classId, account, maxTokens = options.maxTokens) => {
      const accountEstimate = series.get(`${classId} ${account}`)?.estimate;
      const observedEstimate = accountEstimate ?? series.get(classId)?.estimate;
      const estimate = observedEstimate ?? prior;
      const fallback = observedEstimate === undefined ? 'prior' : 'class';
      return {
        medianTokens: Math.min(estimate.medianTokens, maxTokens),
        pessimisticTokens: Math.min(estimate.pessimisticTokens, maxTokens),
        source: accountEstimate === undefined ? fallback : 'account',
      };
    },
    recordLength: (classId, account, answerTokens) => {
      const tokens = Math.min(Math.max(1, Math.round(answerTokens)), options.maxTokens);
      recordSample(classId, tokens);
      recordSample(`${classId} ${account}`, tokens);
    },
  };
}

/** Tokens charged to an account for one answer, and tokens delivered so far. */
export interface TokenCharge {
  readonly chargedTokens: number;
  readonly deliveredTokens: number;
}

/** An updated charge and the change of its charged tokens. */
export interface ChargeUpdate {
  readonly charge: TokenCharge;
  readonly deltaTokens: number;
}

/** Creates the charge of a request at its dispatch. */
export function createTokenCharge(estimatedTokens: number): TokenCharge {
  return { chargedTokens: estimatedTokens, deliveredTokens: 0 };
}

/** Adds delivered tokens; those beyond the estimate are charged as they are delivered. */
export function addDeliveredTokens(charge: TokenCharge, tokens: number): ChargeUpdate {
  const deliveredTokens = charge.deliveredTokens + tokens;
  const chargedTokens = Math.max(charge.chargedTokens, deliveredTokens);
  return {
    charge: { chargedTokens, deliveredTokens }, deltaTokens: chargedTokens - charge.chargedTokens,
  };
}

/** Sets the charge of a finished answer to the delivered tokens. */
export function closeTokenCharge(charge: TokenCharge): ChargeUpdate {
  const { chargedTokens, deliveredTokens } = charge;
  return {
    charge: { chargedTokens: deliveredTokens, deliveredTokens },
    deltaTokens: deliveredTokens - chargedTokens,
  };
}
