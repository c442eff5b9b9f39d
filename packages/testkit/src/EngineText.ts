/**
 * The deterministic text of the fake engine: it depends only on the request body, so any engine can
 * continue the answer that another one began.
 */
import * as Core from '@berylyoke/core';
import * as Schema from 'effect/Schema';

const Message = Schema.Struct({ content: Schema.Unknown, role: Schema.String });

/** Body of a chat completion, as far as the fake reads it. */
export const ChatBody = Schema.Struct({
  max_completion_tokens: Schema.optional(Schema.NullOr(Schema.Int)),
  max_tokens: Schema.optional(Schema.NullOr(Schema.Int)),
  messages: Schema.Array(Message),
  model: Schema.String,
  stream: Schema.optional(Schema.NullOr(Schema.Boolean)),
  stream_options: Schema.optional(
    Schema.NullOr(Schema.Struct({ include_usage: Schema.optional(Schema.Boolean) })),
  ),
});
export type ChatBody = typeof ChatBody.Type;

/** Words that a token can be. */
const VOCABULARY = 10_000;

/** The answer to one request. */
export interface EngineText {
  readonly length: number;
  readonly finishReason: 'length' | 'stop';
  readonly promptTokens: number;
  /** Keys of the prompt's prefixes at message boundaries, the shortest first. */
  readonly prefixes: readonly string[];
  /** Token at an index, counted from 0. */
  readonly getToken: (index: number) => string;
}

/** Builds the answer; `answerTokens` is its length where the request sets no lower limit. */
export function buildEngineText(body: ChatBody, answerTokens: number): EngineText {
  const texts = body.messages.map(({ content, role }) => `${role}:${JSON.stringify(content)}`);
  const seed = Core.hashText(`${body.model}\n${texts.join('\n')}`);
  const limit = body.max_completion_tokens ?? body.max_tokens ?? Infinity;
  return {
    finishReason: limit < answerTokens ? 'length' : 'stop',
    getToken: (index) => `w${Core.hashText(String(index), seed) % VOCABULARY} `,
    length: Math.min(limit, answerTokens),
    prefixes: texts.map((_, index) => (
      `${body.model}:${Core.hashText(texts.slice(0, index + 1).join('\n'))}`
    )),
    promptTokens: texts.reduce((sum, text) => sum + text.split(/\s+/).length, 0),
  };
}

/** Joins the tokens from `from` on. */
export function joinTokens(text: EngineText, from: number): string {
  return Array.from({ length: Math.max(0, text.length - from) }, (_, index) => (
    text.getToken(from + index)
  )).join('');
}
