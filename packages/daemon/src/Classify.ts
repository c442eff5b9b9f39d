/** Finds the class and the target of a request and checks them against the plan of its caller. */
import type * as Config from '@berylyoke/config';
import * as Either from 'effect/Either';
import * as ChatBody from './ChatBody.js';
import type * as RequestTypes from './RequestTypes.js';
import * as Refusal from './Refusal.js';

/** Header in which a caller may set the class of a request. */
const CLASS_HEADER = 'x-berylyoke-class';
/** Length of the prompt prefix that is used for prefix affinity, in characters. */
const PREFIX_CHARACTERS = 1_024;

/** URL path of chat completions. */
export const CHAT_PATH = '/v1/chat/completions';

function parseJson(body: Buffer): Either.Either<unknown, Refusal.Refusal> {
  try {
    return Either.right(JSON.parse(body.toString('utf8')));
  } catch (error) {
    return Either.left(Refusal.createRefusal(
      'invalid_json',
      `the body is not valid JSON: ${(error as Error).message.slice(0, 80)}`,
    ));
  }
}

function getPromptPrefix({ messages }: ChatBody.ChatBody): string {
  return messages
    .map(({ content, role }) => (
      `${role}:${typeof content === 'string' ? content : JSON.stringify(content)}`
    ))
    .join('\n')
    .slice(0, PREFIX_CHARACTERS);
}

function buildTarget(body: Buffer, chat: ChatBody.ChatBody): RequestTypes.ChatTarget {
  const stream = chat.stream === true;
  const payload = stream
    ? Buffer.from(JSON.stringify({
      ...chat,
      stream_options: { ...chat.stream_options, include_usage: true },
    }))
    : body;
  return {
    _tag: 'ChatTarget',
    includeUsage: chat.stream_options?.include_usage === true,
    maxTokens: chat.max_completion_tokens ?? chat.max_tokens ?? undefined,
    model: chat.model,
    payload,
    promptBytes: body.length,
    promptPrefix: getPromptPrefix(chat),
    stream,
  };
}

/** Parses the body of a chat completion; a refusal names the path of each invalid field. */
export function parseChatTarget(body: Buffer): RequestTypes.ChatTarget | Refusal.Refusal {
  const parsedBody = parseJson(body);
  if (Either.isLeft(parsedBody)) return parsedBody.left;
  const chat = parsedBody.right;
  if (!ChatBody.isChatBody(chat)) {
    return Refusal.createRefusal('invalid_request', ChatBody.describeProblems(chat));
  }
  return buildTarget(body, chat);
}

function checkClass(
  lists: Config.Lists,
  plan: Config.Plan | undefined,
  classId: string,
): Config.RequestClass | Refusal.Refusal {
  const requestClass = lists.classes.find(({ id }) => id === classId);
  if (requestClass === undefined || (plan !== undefined && !plan.classes.includes(classId))) {
    return Refusal.createRefusal('class_not_allowed', 'the plan does not allow this class');
  }
  return requestClass;
}

/** Classifies a chat completion, or refuses a model or class that is not allowed. */
export function classifyChat(
  received: RequestTypes.ReceivedRequest,
  caller: RequestTypes.Caller,
  lists: Config.Lists,
): RequestTypes.ClassifiedRequest | Refusal.Refusal {
  const target = parseChatTarget(received.body);
  if (Refusal.isRefusal(target)) return target;
  const model = lists.models.find(({ id }) => id === target.model);
  if (model === undefined) {
    return Refusal.createRefusal(
      'model_not_found',
      `the model ${JSON.stringify(target.model.slice(0, 80))} does not exist`,
    );
  }
  if (!caller.plan.models.includes(model.id)) {
    return Refusal.createRefusal('model_not_allowed', 'the plan does not allow this model');
  }
  const requestedClass = received.headers[CLASS_HEADER];
  const requestClass = checkClass(
    lists,
    caller.plan,
    typeof requestedClass === 'string' ? requestedClass : model.defaultClass,
  );
  if (Refusal.isRefusal(requestClass)) return requestClass;
  return {
    caller, class: requestClass, received, repeatable: true, target,
  };
}

/** Finds the configured route of a URL path. */
export function findRoute(lists: Config.Lists, path: string): Config.Route | undefined {
  return lists.routes.find((route) => route.path === path);
}

/** Classifies a call to a plain service, or refuses a class that is not allowed. */
export function classifyRoute(
  received: RequestTypes.ReceivedRequest,
  caller: RequestTypes.Caller | undefined,
  lists: Config.Lists,
  route: Config.Route,
): RequestTypes.ClassifiedRequest | Refusal.Refusal {
  const requestClass = checkClass(lists, caller?.plan, route.class);
  if (Refusal.isRefusal(requestClass)) return requestClass;
  const idempotencyKey = received.headers['idempotency-key'];
  return {
    caller,
    class: requestClass,
    received,
    repeatable: route.repeatable,
    target: {
      _tag: 'RouteTarget',
      idempotencyKey: typeof idempotencyKey === 'string' ? idempotencyKey : undefined,
      route,
    },
  };
}
