/**
 * Fake of the platform's interface for usage reports. It records every report that arrives.
 * Operation `report` takes the faults delay, duplicate, lost-answer, refusal and silence.
 */
import * as Schema from 'effect/Schema';
import * as FakeServer from './FakeServer.js';

const HTTP_OK = 200;

const Figures = Schema.Record({
  key: Schema.String,
  value: Schema.Struct({
    inputTokens: Schema.Int, outputTokens: Schema.Int, requests: Schema.Int,
  }),
});
const decodeReport = Schema.decodeUnknownSync(
  Schema.Struct({ figures: Figures, reporter: Schema.String }),
);

/** A report as it arrived. */
export interface RecordedReport {
  readonly window: number;
  readonly reporter: string;
  readonly figures: typeof Figures.Type;
  /** Wall time of the arrival, in milliseconds. */
  readonly receivedMs: number;
}

/** A running fake of the report interface. */
export interface FakeUsageReports extends FakeServer.FakeServer {
  readonly listReports: () => readonly RecordedReport[];
  /** Windows that were reported with different figures. */
  readonly listConflicts: () => readonly number[];
}

/** Options of the fake. */
export interface FakeUsageReportsOptions {
  readonly port?: number;
}

function formatFigures({ figures }: RecordedReport): string {
  return JSON.stringify(Object.entries(figures).sort(([a], [b]) => (a < b ? -1 : 1)));
}

/** Starts the fake. */
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
      const figures = new Map<number, Set<string>>();
      reports.forEach((report) => {
        const known = figures.get(report.window) ?? new Set();
        figures.set(report.window, known.add(formatFigures(report)));
      });
      return [...figures].filter(([, found]) => found.size > 1).map(([window]) => window);
    },
    listReports: () => reports,
  };
}
