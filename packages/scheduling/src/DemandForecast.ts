/**
 * Demand forecast by double exponential smoothing (Holt's method). Servers take time to start, so
 * purchases need the demand at the time when new servers will be ready.
 */
import type * as Core from '@berylyoke/core';

/** Smoothed demand of one model. */
export interface DemandForecast {
  readonly tokensPerSecond: number;
  /** Growth of the demand per second, in tokens per second. */
  readonly trend: number;
  /** Moving average of the absolute one-step forecast error, in tokens per second. */
  readonly deviation: number;
  readonly observedMs: Core.Millis;
  readonly observations: number;
}

/** Smoothing parameters. */
export interface ForecastOptions {
  readonly levelTimeConstantMs: Core.Millis;
  readonly trendTimeConstantMs: Core.Millis;
  /** Safety margin added to a forecast, as a multiple of `deviation`. */
  readonly safetyDeviations: number;
}

/** Default parameters. */
export const defaultForecastOptions: ForecastOptions = {
  levelTimeConstantMs: 20_000, safetyDeviations: 2, trendTimeConstantMs: 120_000,
};

/** Forecast before the first observation. */
export const initialDemandForecast: DemandForecast = {
  deviation: 0, observations: 0, observedMs: 0, tokensPerSecond: 0, trend: 0,
};

/** Updates the forecast with the demand observed at `nowMs`; ignores out-of-order observations. */
export function observeDemand(
  forecast: DemandForecast,
  tokensPerSecond: number,
  nowMs: Core.Millis,
  options: ForecastOptions = defaultForecastOptions,
): DemandForecast {
  if (forecast.observations === 0) {
    return {
      deviation: 0, observations: 1, observedMs: nowMs, tokensPerSecond, trend: 0,
    };
  }
  const elapsedMs = nowMs - forecast.observedMs;
  if (elapsedMs <= 0) return forecast;
  const elapsedS = elapsedMs / 1_000;
  const expected = forecast.tokensPerSecond + forecast.trend * elapsedS;
  const error = tokensPerSecond - expected;
  const levelWeight = 1 - Math.exp(-elapsedMs / options.levelTimeConstantMs);
  const trendWeight = 1 - Math.exp(-elapsedMs / options.trendTimeConstantMs);
  const level = expected + levelWeight * error;
  const slope = (level - forecast.tokensPerSecond) / elapsedS;
  return {
    deviation: forecast.deviation + levelWeight * (Math.abs(error) - forecast.deviation),
    observations: forecast.observations + 1,
    observedMs: nowMs,
    tokensPerSecond: Math.max(0, level),
    trend: forecast.trend + trendWeight * (slope - forecast.trend),
  };
}

/**
 * Estimates the demand after a lead time, in tokens per second, with the safety margin. A falling
 * trend is not extrapolated.
 */
export function estimateDemand(
  forecast: DemandForecast,
  leadMs: Core.Millis,
  options: ForecastOptions = defaultForecastOptions,
): number {
  const growth = (Math.max(0, forecast.trend) * leadMs) / 1_000;
  return forecast.tokensPerSecond + growth + options.safetyDeviations * forecast.deviation;
}
