import * as Testkit from '@berylyoke/testkit';
import * as Vitest from 'vitest';

const { describe, expect, test } = Vitest;

const TRACE_ID = '0af7651916cd43dd8448eb211c80319c';

async function startCollector(): Promise<Testkit.FakeServer & { readonly bodies: string[] }> {
  const bodies: string[] = [];
  const server = await Testkit.startFakeServer([{
    handle: ({ text }) => {
      bodies.push(text);
      return { body: {}, status: 200 };
    },
    name: 'traces',
    pattern: /^POST \/v1\/traces$/,
  }]);
  return { ...server, bodies };
}

describe('tracing', () => {
  test.each([true, false])('passes the trace to the engine (exporter: %s)', async (isExported) => {
    const collector = await startCollector();
    const system = await Testkit.startDemoSystem({
      engine: { betweenTokensMs: 0, firstTokenMs: 0 },
      port: 0,
      settings: isExported ? { trace: { otlp_url: `${collector.url}/v1/traces` } } : {},
    });
    const { entries, key, model } = system.description;
    const answer = await Testkit.requestText(`${entries[0]}/v1/chat/completions`, {
      body: JSON.stringify({ messages: [{ content: 'secret prompt', role: 'user' }], model }),
      headers: {
        authorization: `Bearer ${key}`, traceparent: `00-${TRACE_ID}-b7ad6b7169203331-01`,
      },
      method: 'POST',
    });
    expect(answer.status).toBe(200);
    const seen = system.engines.flatMap((engine) => engine.listReceivedRequests());
    expect(seen[0]?.headers.traceparent).toContain(TRACE_ID);
    const metrics = await Testkit.requestText(`${system.operators[0]}/metrics`);
    const answers = 'berylyoke_answers_total{class="staff-question",result="done"} 1';
    expect(metrics.text).toContain(answers);
    expect(metrics.text).toContain('_first_token_ms{class="staff-question",quantile="0.5"}');
    await system.stop();
    const spans = collector.bodies.join('');
    await collector.close();
    const names = ['berylyoke.request', 'berylyoke.choose', 'berylyoke.forward'];
    expect(names.map((name) => spans.includes(name))).toEqual(names.map(() => isExported));
    expect(spans.includes(TRACE_ID)).toBe(isExported);
    expect(spans).not.toContain(key);
    expect(spans).not.toContain('secret prompt');
  });
});
