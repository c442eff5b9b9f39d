/**
 * OpenTelemetry spans for each hop of a request. If the settings have no exporter, no span is
 * created, and the caller's `traceparent` is forwarded unchanged.
 */
import * as Api from '@opentelemetry/api';

const TRACEPARENT_PATTERN = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;
const HEX_RADIX = 16;

/** Attributes of a span; they must not contain headers or parts of a body. */
export type TraceAttributes = Readonly<Record<string, number | string>>;

/** One hop of a request. */
export interface TraceSpan {
  /** `traceparent` header for the next hop; undefined if there is no trace. */
  readonly traceparent: string | undefined;
  readonly startChild: (name: string, attributes?: TraceAttributes) => TraceSpan;
  readonly end: (result: string) => void;
}

/** Creates the trace spans of requests. */
export interface Tracing {
  /** Starts the span of a received request; `traceparent` is the caller's header value. */
  readonly startRequest: (traceparent: unknown, attributes: TraceAttributes) => TraceSpan;
  /** Exports the remaining spans. */
  readonly close: () => Promise<void>;
}

function createPassThroughSpan(traceparent: string | undefined): TraceSpan {
  const span: TraceSpan = { end: () => undefined, startChild: () => span, traceparent };
  return span;
}

const EMPTY_SPAN = createPassThroughSpan(undefined);

function getValidTraceparent(header: unknown): string | undefined {
  return typeof header === 'string' && TRACEPARENT_PATTERN.test(header) ? header : undefined;
}

function parseParent(header: string | undefined): Api.Context {
  const match = TRACEPARENT_PATTERN.exec(header ?? '');
  if (match === null) return Api.ROOT_CONTEXT;
  const [, traceId = '', spanId = '', flags = ''] = match;
  return Api.trace.setSpanContext(Api.ROOT_CONTEXT, {
    isRemote: true, spanId, traceFlags: parseInt(flags, HEX_RADIX), traceId,
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
  const childContext = Api.trace.setSpan(parent, span);
  return {
    end: (result) => {
      span.setAttribute('berylyoke.result', result);
      span.end();
    },
    startChild: (childName, childAttributes = {}) => (
      createSpan(tracer, childName, Api.SpanKind.CLIENT, childAttributes, childContext)
    ),
    traceparent: `00-${traceId}-${spanId}-${traceFlags.toString(HEX_RADIX).padStart(2, '0')}`,
  };
}

/** Creates the tracing; the OpenTelemetry SDK is loaded only if `otlpUrl` is set. */
export async function createTracing(otlpUrl: string | undefined): Promise<Tracing> {
  if (otlpUrl === undefined) {
    return {
      close: () => Promise.resolve(),
      startRequest: (header) => {
        const traceparent = getValidTraceparent(header);
        return traceparent === undefined ? EMPTY_SPAN : createPassThroughSpan(traceparent);
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
      parseParent(getValidTraceparent(header)),
    ),
  };
}
