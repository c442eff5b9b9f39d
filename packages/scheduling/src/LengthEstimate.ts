/**
 * Estimates of answer lengths in tokens, which are unknown in advance. Lengths are kept for each
 * class and account, with fall-back to the class and then to a prior; admission uses a pessimistic
 * quantile, fair sharing the median, and the charge is corrected as tokens arrive.
 */
import * as Histograms from 'hdr-histogram-js';

/** Estimated length of one answer. */
export interface LengthEstimate {
  readonly medianTokens: number;
  /** Length that an answer exceeds only with probability 1 − `pessimisticQuantile`. */
  readonly pessimisticTokens: number;
  /** What the estimate was made from. */
  readonly source: 'account' | 'class' | 'prior';
}

/** How lengths are estimated. */
export interface LengthOptions {
  readonly pessimisticQuantile: number;
  /** Answers of an account, or of a class, before its own lengths are used. */
  readonly minSamples: number;
  /** Answers after which older ones are forgotten. */
  readonly windowSamples: number;
  readonly priorTokens: number;
  readonly priorPessimisticTokens: number;
  /** Lengths above this one count as this one. */
  readonly maxTokens: number;
}

/** Learns lengths and estimates them. */
export interface LengthEstimates {
  readonly recordLength: (classId: string, account: string, answerTokens: number) => void;
  /** `maxTokens` is the caller's own limit on the answer, if it set one. */
  readonly estimateLength: (
    classId: string, account: string, maxTokens?: number,
  ) => LengthEstimate;
}

/** Values used when nothing else is set. */
export const defaultLengthOptions: LengthOptions = {
  maxTokens: 131_072,
  minSamples: 20,
  pessimisticQuantile: 0.9,
  priorPessimisticTokens: 1_024,
  priorTokens: 256,
  windowSamples: 500,
};

interface Lengths {
  current: Histograms.Histogram;
  previous: Histograms.Histogram;
  recorded: number;
  estimate: Omit<LengthEstimate, 'source'> | undefined;
}

/** Answers between two computations of the quantiles of a series. */
const ESTIMATE_EVERY = 8;

function createHistogram(maxTokens: number): Histograms.Histogram {
  // One significant digit holds a length within 7 % in about a kilobyte.
  return Histograms.build({
    bitBucketSize: 16,
    highestTrackableValue: maxTokens,
    lowestDiscernibleValue: 1,
    numberOfSignificantValueDigits: 1,
  });
}

/** Creates estimates without any sample. */
export function createLengthEstimates(
  options: LengthOptions = defaultLengthOptions,
): LengthEstimates {
  const series = new Map<string, Lengths>();

  const getLengths = (key: string): Lengths => {
    const known = series.get(key);
    if (known !== undefined) return known;
    const added = {
      current: createHistogram(options.maxTokens),
      estimate: undefined,
      previous: createHistogram(options.maxTokens),
      recorded: 0,
    };
    series.set(key, added);
    return added;
  };

  const record = (key: string, tokens: number): void => {
    const lengths = getLengths(key);
    lengths.current.recordValue(tokens);
    lengths.recorded += 1;
    if (lengths.current.totalCount >= options.windowSamples) {
      const { current, previous } = lengths;
      previous.reset();
      lengths.current = previous;
      lengths.previous = current;
    }
    if (lengths.recorded < options.minSamples) return;
    if (lengths.estimate !== undefined && lengths.recorded % ESTIMATE_EVERY !== 0) return;
    const { current, previous } = lengths;
    const source = current.totalCount >= previous.totalCount / 2 ? current : previous;
    lengths.estimate = {
      medianTokens: source.getValueAtPercentile(50),
      pessimisticTokens: source.getValueAtPercentile(options.pessimisticQuantile * 100),
    };
  };

  const prior = {
    medianTokens: options.priorTokens, pessimisticTokens: options.priorPessimisticTokens,
  };

  return {
    estimateLength: (classId, account, maxTokens = options.maxTokens) => {
      const own = series.get(`${classId} ${account}`)?.estimate;
      const ofClass = own ?? series.get(classId)?.estimate;
      const estimate = ofClass ?? prior;
      const fallback = ofClass === undefined ? 'prior' : 'class';
      return {
        medianTokens: Math.min(estimate.medianTokens, maxTokens),
        pessimisticTokens: Math.min(estimate.pessimisticTokens, maxTokens),
        source: own === undefined ? fallback : 'account',
      };
    },
    recordLength: (classId, account, answerTokens) => {
      const tokens = Math.min(Math.max(1, Math.round(answerTokens)), options.maxTokens);
      record(classId, tokens);
      record(`${classId} ${account}`, tokens);
    },
  };
}

/** What an account has been charged for one answer, and what was delivered. */
export interface TokenCharge {
  readonly chargedTokens: number;
  readonly deliveredTokens: number;
}

/** A corrected charge and the difference to the one before it. */
export interface ChargeStep {
  readonly charge: TokenCharge;
  readonly deltaTokens: number;
}

/** Creates the charge of a request that is dispatched now. */
export function createTokenCharge(estimatedTokens: number): TokenCharge {
  return { chargedTokens: estimatedTokens, deliveredTokens: 0 };
}

/** Adds delivered tokens; beyond the estimate each one is charged as it arrives. */
export function addDeliveredTokens(charge: TokenCharge, tokens: number): ChargeStep {
  const deliveredTokens = charge.deliveredTokens + tokens;
  const chargedTokens = Math.max(charge.chargedTokens, deliveredTokens);
  return {
    charge: { chargedTokens, deliveredTokens }, deltaTokens: chargedTokens - charge.chargedTokens,
  };
}

/** Corrects the charge of an answer that has ended to what was delivered. */
export function closeTokenCharge(charge: TokenCharge): ChargeStep {
  const { chargedTokens, deliveredTokens } = charge;
  return {
    charge: { chargedTokens: deliveredTokens, deliveredTokens },
    deltaTokens: deliveredTokens - chargedTokens,
  };
}
