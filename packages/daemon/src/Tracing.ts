/**
 * OpenTelemetry spans for each hop of a request. Without an exporter in the settings no span is
 * made, and the caller's `traceparent` is passed on as it came.
 */
import * as Api from '@opentelemetry/api';

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;
const HEX = 16;

/** Values that a span carries; never a header or a part of a body. */
export type TraceAttributes = Readonly<Record<string, number | string>>;

/** One hop of a request. */
export interface TraceSpan {
  /** Value for the next hop; undefined when there is no trace. */
  readonly traceparent: string | undefined;
  readonly startChild: (name: string, attributes?: TraceAttributes) => TraceSpan;
  readonly end: (result: string) => void;
}

/** Starts traces. */
export interface Tracing {
  /** Starts the span of a received request; `traceparent` is the header of the caller. */
  readonly startRequest: (traceparent: unknown, attributes: TraceAttributes) => TraceSpan;
  /** Sends the spans that are left. */
  readonly close: () => Promise<void>;
}

function createUntraced(traceparent: string | undefined): TraceSpan {
  const span: TraceSpan = { end: () => undefined, startChild: () => span, traceparent };
  return span;
}

const UNTRACED = createUntraced(undefined);

function checkTraceparent(header: unknown): string | undefined {
  return typeof header === 'string' && TRACEPARENT.test(header) ? header : undefined;
}

function parseParent(header: string | undefined): Api.Context {
  const match = TRACEPARENT.exec(header ?? '');
  if (match === null) return Api.ROOT_CONTEXT;
  const [, traceId = '', spanId = '', flags = ''] = match;
  return Api.trace.setSpanContext(Api.ROOT_CONTEXT, {
    isRemote: true, spanId, traceFlags: parseInt(flags, HEX), traceId,
  });
}

function createSpan(
  tracer: Api.Tracer,
  name: string,
  kind: Api.SpanKind,
  attributes: TraceAttributes,
  parent: Api.Context,
): TraceSpan {
  const span = tracer.startSpan(name, { attributes: { ...attributes }, kind }, parent);
  const { spanId, traceFlags, traceId } = span.spanContext();
  const own = Api.trace.setSpan(parent, span);
  return {
    end: (result) => {
      span.setAttribute('berylyoke.result', result);
      span.end();
    },
    startChild: (childName, childAttributes = {}) => (
      createSpan(tracer, childName, Api.SpanKind.CLIENT, childAttributes, own)
    ),
    traceparent: `00-${traceId}-${spanId}-${traceFlags.toString(HEX).padStart(2, '0')}`,
  };
}

/** Creates the tracing; the exporter is loaded only where `otlpUrl` is set. */
export async function createTracing(otlpUrl: string | undefined): Promise<Tracing> {
  if (otlpUrl === undefined) {
    return {
      close: () => Promise.resolve(),
      startRequest: (header) => {
        const traceparent = checkTraceparent(header);
        return traceparent === undefined ? UNTRACED : createUntraced(traceparent);
      },
    };
  }
  const [Sdk, Exporter] = await Promise.all([
    import('@opentelemetry/sdk-trace-node'),
    import('@opentelemetry/exporter-trace-otlp-http'),
  ]);
  const provider = new Sdk.NodeTracerProvider({
    spanProcessors: [
      new Sdk.BatchSpanProcessor(new Exporter.OTLPTraceExporter({ url: otlpUrl })),
    ],
  });
  const tracer = provider.getTracer('berylyoke');
  return {
    close: () => provider.shutdown(),
    startRequest: (header, attributes) => createSpan(
      tracer,
      'berylyoke.request',
      Api.SpanKind.SERVER,
      attributes,
      parseParent(checkTraceparent(header)),
    ),
  };
}
