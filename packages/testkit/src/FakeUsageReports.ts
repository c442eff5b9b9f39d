/**
 * Fake of the platform's interface for usage reports. It records every report that it receives,
 * repeated ones included. Operation `report` supports the faults delay, duplicate, lost-answer,
 * refusal and silence.
 */
import * as Schema from 'effect/Schema';
import * as FakeServer from './FakeServer.js';

const HTTP_OK = 200;

const UsageAmounts = Schema.Record({
  key: Schema.String,
  value: Schema.Struct({
    inputTokens: Schema.Int, outputTokens: Schema.Int, requests: Schema.Int,
  }),
});
const decodeReport = Schema.decodeUnknownSync(
  Schema.Struct({ figures: UsageAmounts, reporter: Schema.String }),
);

/** A received report. */
export interface RecordedReport {
  readonly window: number;
  readonly reporter: string;
  readonly figures: typeof UsageAmounts.Type;
  /** Wall-clock time at which the report was received, in milliseconds. */
  readonly receivedMs: number;
}

/** A running fake of the interface for usage reports. */
export interface FakeUsageReports extends FakeServer.FakeServer {
  readonly listReports: () => readonly RecordedReport[];
  /** Lists the windows that were reported with different figures. */
  readonly listConflicts: () => readonly number[];
}

/** Options of the fake. */
export interface FakeUsageReportsOptions {
  readonly port?: number;
}

function formatFigures({ figures }: RecordedReport): string {
  return JSON.stringify(Object.entries(figures).sort(([a], [b]) => (a < b ? -1 : 1)));
}

/** Starts the fake on a loopback port. */
export async function startFakeUsageReports(
  { port = 0 }: FakeUsageReportsOptions = {},
): Promise<FakeUsageReports> {
  const reports: RecordedReport[] = [];
  const server = await FakeServer.startFakeServer([
    {
      handle: ({ text }, _, [, window = '']) => {
        const { figures, reporter } = decodeReport(JSON.parse(text));
        reports.push({
          figures, receivedMs: Date.now(), reporter, window: Number(window),
        });
        return { body: {}, status: HTTP_OK };
      },
      name: 'report',
      pattern: /^PUT \/windows\/([0-9]+)$/,
    },
    {
      handle: () => ({ body: reports, status: HTTP_OK }),
      name: 'reports',
      pattern: /^GET \/reports$/,
    },
  ], port);
  return {
    ...server,
    listConflicts: () => {
      const variantsByWindow = new Map<number, Set<string>>();
      reports.forEach((report) => {
        const variants = variantsByWindow.get(report.window) ?? new Set();
        variantsByWindow.set(report.window, variants.add(formatFigures(report)));
      });
      return [...variantsByWindow]
        .filter(([, variants]) => variants.size > 1)
        .map(([window]) => window);
    },
    listReports: () => reports,
  };
}
