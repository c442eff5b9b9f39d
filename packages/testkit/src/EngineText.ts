/**
 * Builds the answers of the fake engine. An answer depends only on the request body and on its
 * configured length, so that any engine can resume an answer that another one started.
 */
import * as Core from '@berylyoke/core';
import * as Schema from 'effect/Schema';

const Message = Schema.Struct({ content: Schema.Unknown, role: Schema.String });

/** Fields of a chat completion request that the fake reads. */
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

/** Number of different tokens. */
const VOCABULARY_SIZE = 10_000;

/** The answer to one request; `length` is its number of tokens. */
export interface EngineText {
  readonly length: number;
  readonly finishReason: 'length' | 'stop';
  readonly promptTokens: number;
  /** Cache keys of the prompt prefixes that end at a message boundary, the shortest first. */
  readonly prefixes: readonly string[];
  /** Returns the token at an index, counted from 0. */
  readonly getToken: (index: number) => string;
}

/** Builds the answer. It has `answerTokens` tokens unless the request sets a lower limit. */
export function buildEngineText(body: ChatBody, answerTokens: number): EngineText {
  const texts = body.messages.map(({ content, role }) => `${role}:${JSON.stringify(content)}`);
  const seed = Core.hashText(`${body.model}\n${texts.join('\n')}`);
  const limit = body.max_completion_tokens ?? body.max_tokens ?? Infinity;
  return {
    finishReason: limit < answerTokens ? 'length' : 'stop',
    getToken: (index) => `w${Core.hashText(String(index), seed) % VOCABULARY_SIZE} `,
    length: Math.min(limit, answerTokens),
    prefixes: texts.map((_, index) => (
      `${body.model}:${Core.hashText(texts.slice(0, index + 1).join('\n'))}`
    )),
    promptTokens: texts.reduce((sum, text) => sum + text.split(/\s+/).length, 0),
  };
}

/** Joins the tokens of an answer, starting at an index. */
export function joinTokens(text: EngineText, firstIndex: number): string {
  return Array.from({ length: Math.max(0, text.length - firstIndex) }, (_, index) => (
    text.getToken(firstIndex + index)
  )).join('');
}
