/**
 * Forecast of demand by double exponential smoothing (Holt), so that servers are ordered for the
 * time at which they will be ready and not for the time of the order.
 */
import type * as Core from '@berylyoke/core';

/** Smoothed demand of one model. */
export interface DemandForecast {
  readonly tokensPerSecond: number;
  /** Change per second, in tokens per second. */
  readonly trend: number;
  /** Mean absolute error of the forecasts one observation ahead. */
  readonly deviation: number;
  readonly observedMs: Core.Millis;
  readonly observations: number;
}

/** How fast the forecast follows. */
export interface ForecastOptions {
  readonly levelMs: Core.Millis;
  readonly trendMs: Core.Millis;
  /** Mean absolute errors that are added for safety. */
  readonly safetyDeviations: number;
}

/** Values used when nothing else is set. */
export const defaultForecastOptions: ForecastOptions = {
  levelMs: 20_000, safetyDeviations: 2, trendMs: 120_000,
};

/** Forecast before the first observation. */
export const initialDemandForecast: DemandForecast = {
  deviation: 0, observations: 0, observedMs: 0, tokensPerSecond: 0, trend: 0,
};

/** Adds an observation of the demand at a time. An observation out of order is ignored. */
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
  const levelWeight = 1 - Math.exp(-elapsedMs / options.levelMs);
  const trendWeight = 1 - Math.exp(-elapsedMs / options.trendMs);
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

/** Forecasts the demand after a lead time, with safety; a falling trend is not extrapolated. */
export function estimateDemand(
  forecast: DemandForecast,
  leadMs: Core.Millis,
  options: ForecastOptions = defaultForecastOptions,
): number {
  const growth = (Math.max(0, forecast.trend) * leadMs) / 1_000;
  return forecast.tokensPerSecond + growth + options.safetyDeviations * forecast.deviation;
}
