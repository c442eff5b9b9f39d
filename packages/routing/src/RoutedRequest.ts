/**
 * Handles one request from its head to the end of the response: matches the route, authenticates
 * the caller, selects a backend server, forwards the request, relays the response and records the
 * outcome. Uses callbacks instead of `effect`, because a fiber for each event of a stream would
 * cost more than relaying the event (docs/decisions/house-style.md).
 */
import * as Core from '@berylyoke/core';
import type * as http from 'node:http';
import * as RetryPolicy from './RetryPolicy.js';
import type * as AdmissionGate from './AdmissionGate.js';
import * as AttemptLoad from './AttemptLoad.js';
import * as BackendExchange from './BackendExchange.js';
import * as BackendHeaders from './BackendHeaders.js';
import type * as ByteBudget from './ByteBudget.js';
import * as CrashEvidence from './CrashEvidence.js';
import type * as EnginePicker from './EnginePicker.js';
import * as EngineRates from './EngineRates.js';
import * as EventFramer from './EventFramer.js';
import * as HeaderRules from './HeaderRules.js';
import type * as PathContext from './PathContext.js';
import * as Refusals from './Refusals.js';
import * as RequestBody from './RequestBody.js';
import * as RequestFingerprint from './RequestFingerprint.js';
import * as RequestHead from './RequestHead.js';
import * as RequestTraits from './RequestTraits.js';
import * as ResponseAbort from './ResponseAbort.js';
import * as RouteTable from './RouteTable.js';
import * as RoutingConfig from './RoutingConfig.js';
import * as ServerSelection from './ServerSelection.js';
import * as ServerObservation from './ServerObservation.js';
import * as ServerPicker from './ServerPicker.js';
import * as ServerPool from './ServerPool.js';
import * as StopPolicy from './StopPolicy.js';
import * as SurplusResponse from './SurplusResponse.js';

/** Time limit of a request until its route is known. */
const DEFAULT_TIMEOUT_MS = 30_000;

/** Share of the remaining time that a server may stay silent on a repeatable request. */
const MAX_SILENCE_SHARE = 0.45;

/** Longest silence within a resumable stream, as a multiple of the route's pause target. */
const MAX_SILENCE_PAUSES = 4;

/** Shortest silence that counts as a failure of the server. */
const MIN_SILENCE_MS = 900;

const FIRST_SERVER_ERROR_STATUS = 500;

/** Memory that an event takes beside its bytes; many events are much shorter than this. */
const EVENT_OVERHEAD_BYTES = 256;

/** Reason of the end of a response that holds most of the memory for responses. */
const MOST_HELD_REASON = 'most-held-bytes';

/** Refusals of requests that must not be sent, by the kind of the trait because of which. */
const BLOCKED_REFUSALS = {
  fingerprint: 'request_blocked', promptPart: 'prompt_blocked',
} as const satisfies Record<RequestTraits.TraitKind, Refusals.RefusalCode>;

/** An attempt in progress. */
interface Attempt {
  readonly chosen: ServerSelection.ChosenServer;
  /** Software version of the server by its entry when the request was sent. */
  readonly version: string;
  readonly exchange: BackendExchange.Exchange;
  readonly startedMs: Core.Millis;
  readonly pendingPromptTokens: number;
  /** Part of the attempt in the load of the fleet. */
  readonly load: AttemptLoad.AttemptLoad;
  readonly crashEvidence: CrashEvidence.CrashEvidence;
  readonly allowance: Core.SendAllowance;
  /** What the attempt holds of the response: body, waiting events and the incomplete event. */
  readonly heldBytes: ByteBudget.HeldBytes;
  head: BackendExchange.ResponseHead | undefined;
  framer: EventFramer.EventFramer | undefined;
  /** Events that wait until the beginning of the stream is recorded; undefined if none has to. */
  heldEvents: EventFramer.StreamEvent[] | undefined;
  /** Whether the server sent a complete event. */
  hasEvents: boolean;
  /** Body of a non-streaming response, buffered until it is complete. */
  readonly held: Core.ByteCollector;
  /** Whether the server began to respond. */
  hasStarted: boolean;
  /** Whether the server should be sending events; false while the caller applies backpressure. */
  isStreaming: boolean;
}

/** What the log says about the choice of a server. */
type ChoiceSummary = Pick<ServerSelection.ChosenServer, 'candidates' | 'costMs' | 'limitPerS'>;

/** What the log says about the end of a server's response. */
interface ResponseEnd {
  readonly framing: Core.BodyFraming;
  /** Bytes after the last complete event of a stream. */
  readonly partialEventBytes: number | undefined;
}

/**
 * Finds the event that is the head of another response; -1 if there is none. Only a stream that
 * ends with its connection can contain the bytes that follow it there.
 */
function findSurplusResponse(
  { head }: Attempt,
  events: readonly EventFramer.StreamEvent[],
): number {
  if (head?.framing !== 'connection') return -1;
  return events.findIndex(({ hasStatusLine }) => hasStatusLine);
}

/** Counts the memory that held events take. */
function countHeldBytes(events: readonly EventFramer.StreamEvent[]): number {
  return events.reduce((sum, { bytes }) => sum + bytes.length + EVENT_OVERHEAD_BYTES, 0);
}

/** A request in progress. */
export class RoutedRequest {
  readonly #context: PathContext.PathContext;

  readonly #request: http.IncomingMessage;

  readonly #response: http.ServerResponse;

  readonly #head: RequestHead.RequestHead;

  readonly #receivedMs: Core.Millis;

  readonly #onEnd: () => void;

  /** Ids of the prompt's parts that other requests may share; empty without a prompt. */
  readonly #sharedPartIds: readonly string[];

  /** Fingerprint of the request; empty until its body was read. */
  #fingerprint = '';

  /** Traits under which servers may crash; empty until the body was read. */
  #traits: readonly string[] = [];

  readonly #triedIds = new Set<string>();

  #route: RoutingConfig.Route | undefined;

  #service = '';

  /** Admission of the first attempt; undefined if none was chosen yet. */
  #admission: AdmissionGate.Admission | undefined;

  /** Trait because of which the request must not be sent. */
  #blockedTrait: string | undefined;

  /** Software version that began the stream; undefined as long as any version can. */
  #version: string | undefined;

  /** Whether an attempt was recorded as the beginning of the stream; later ones must be as well. */
  #hasRecord = false;

  /** Called with whether the caller has the whole stream when the request ends. */
  readonly #recordEnds: ((isComplete: boolean) => void)[] = [];

  /** Most recent choice of a server, for the log. */
  #lastChoice: ChoiceSummary | undefined;

  #configVersion: number | undefined;

  #account: RoutingConfig.ClientAccount | undefined;

  /** Accounts among which that of the key was looked up last. */
  #checkedAccounts: RoutingConfig.RoutingConfig['accountsByKeyDigest'];

  #timeoutMs = DEFAULT_TIMEOUT_MS;

  #body: Buffer = Buffer.alloc(0);

  /** Drops what was read of an incomplete body. */
  #cancelBody: (() => void) | undefined;

  #attempt: Attempt | undefined;

  /** Attempts that may have reached a server of the service. */
  #sends = 0;

  /** Attempts that certainly reached no server of the service. */
  #undelivered = 0;

  #mayHaveRun = false;

  #isHeadSent = false;

  #isStartCounted = false;

  #isEnded = false;

  #lastEventId: number | undefined;

  /** Whether the caller has an event with data after the last event with an id. */
  #hasUnidentifiedEvent = false;

  /** How the last response of a server ended, for the log. */
  #lastEnd: ResponseEnd | undefined;

  #firstByteMs: Core.Millis | undefined;

  /** Time at which the last attempt was sent. */
  #sentMs: Core.Millis | undefined;

  #timeoutTimer: NodeJS.Timeout | undefined;

  #silenceTimer: NodeJS.Timeout | undefined;

  constructor(
    context: PathContext.PathContext,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    onEnd: () => void,
  ) {
    this.#context = context;
    this.#request = request;
    this.#response = response;
    this.#onEnd = onEnd;
    this.#receivedMs = context.clock.readMonotonic();
    this.#head = RequestHead.readRequestHead(request, context.names);
    this.#lastEventId = this.#head.lastEventId;
    const { prompt } = this.#head;
    this.#sharedPartIds = prompt === undefined ? [] : ServerPicker.listSharedPartIds(prompt);
  }

  /** Starts to handle the request. */
  start(): void {
    this.#response.on('close', this.#withDefectHandler(() => {
      if (!this.#isEnded) this.#end('caller_left', undefined);
    }));
    this.#request.on('error', () => {
      // The caller's connection broke; the `close` event of the response ends the request.
    });
    this.#withDefectHandler(() => this.#admit())();
  }

  /** Wraps a callback so that an unexpected error in it ends only this request. */
  #withDefectHandler<Values extends readonly unknown[]>(
    handle: (...values: Values) => void,
  ): (...values: Values) => void {
    return Core.withErrorHandler(handle, (error) => this.#handleDefect(error));
  }

  #handleDefect(error: unknown): void {
    this.#context.handleDefect(error, this.#head.requestId);
    if (this.#isEnded) return;
    if (this.#attempt !== undefined) this.#mayHaveRun = true;
    if (this.#isHeadSent || this.#response.headersSent) {
      ResponseAbort.abortResponse(this.#response);
      this.#end('internal_error', undefined);
    } else this.#refuse(this.#mayHaveRun ? 'internal_error' : 'internal_error_not_run');
  }

  #admit(): void {
    if (this.#context.getPhase() === 'refusing') {
      this.#refuse('stopping');
      return;
    }
    const { path, rawHeaders } = this.#head;
    if (!Core.isWritableTarget(path) || !Core.areWritableHeaders(rawHeaders)) {
      this.#refuse('malformed_request');
      return;
    }
    const active = this.#context.getActiveConfig();
    if (active === undefined) {
      this.#refuse('no_configuration');
      return;
    }
    this.#configVersion = active.config.version;
    this.#matchRoute(active);
  }

  #matchRoute({ config, routes }: PathContext.ActiveConfig): void {
    const headerBytes = this.#head.rawHeaders.reduce((sum, { length }) => sum + length, 0);
    if (headerBytes > config.limits.maxHeaderBytes) {
      this.#refuse('headers_too_large');
      return;
    }
    const route = RouteTable.findRoute(routes, this.#head.host, this.#head.path);
    if (route === undefined) {
      this.#refuse('no_route');
      return;
    }
    this.#route = route;
    // The rest of a stream comes from the service that began it.
    const streamId = this.#head.resumedRequestId ?? this.#head.requestId;
    this.#service = RouteTable.chooseService(route, streamId) ?? '';
    this.#timeoutMs = Math.min(this.#head.callerTimeoutMs ?? Infinity, route.timeoutMs);
    const handleTimeout = this.#withDefectHandler(() => this.#handleTimeout());
    this.#timeoutTimer = setTimeout(handleTimeout, this.#timeoutMs);
    // Without a valid key, a request holds no body; meanwhile its key may be withdrawn.
    this.#authenticate(route, config, () => this.#readBody(config.limits.maxBodyBytes, () => {
      const current = this.#context.getActiveConfig()?.config ?? config;
      this.#authenticate(route, current, () => this.#dispatch());
    }));
  }

  #readBody(maxBytes: number, onBody: () => void): void {
    this.#cancelBody = RequestBody.readRequestBody(this.#request, maxBytes, {
      onBody: this.#withDefectHandler((body: Buffer) => {
        if (this.#isEnded) return;
        this.#body = body;
        onBody();
      }),
      onRefuse: this.#withDefectHandler((code: Refusals.RefusalCode) => {
        if (!this.#isEnded) this.#refuse(code);
      }),
    });
  }

  #authenticate(
    route: RoutingConfig.Route,
    config: RoutingConfig.RoutingConfig,
    onValid: () => void,
  ): void {
    const accounts = config.accountsByKeyDigest;
    if (route.isOpen || accounts === undefined) {
      onValid();
      return;
    }
    if (!this.#context.areKeysCurrent()) {
      this.#renewKeys(route, onValid);
      return;
    }
    if (accounts !== this.#checkedAccounts) {
      const key = this.#head.bearerKey;
      this.#checkedAccounts = accounts;
      this.#account = key === undefined ? undefined : accounts.get(RoutingConfig.hashKey(key));
    }
    if (this.#account === undefined) this.#refuse('invalid_key');
    else onValid();
  }

  /**
   * Refreshes the list of keys and then authenticates against the newest configuration, which may
   * be newer than the one that the route came from.
   */
  #renewKeys(route: RoutingConfig.Route, onValid: () => void): void {
    this.#context.renewKeys().then(this.#withDefectHandler((isCurrent: boolean) => {
      if (this.#isEnded) return;
      const active = this.#context.getActiveConfig();
      if (!isCurrent || active === undefined) this.#refuse('keys_not_current');
      else this.#authenticate(route, active.config, onValid);
    }), this.#withDefectHandler((error: unknown) => {
      throw error;
    }));
  }

  #dispatch(): void {
    if (this.#isEnded || this.#route === undefined) return;
    const isFirst = this.#sends === 0 && this.#undelivered === 0;
    if (isFirst) this.#identify();
    if (isFirst && this.#isResumable() && this.#head.isResumption) this.#findVersion();
    else this.#sendToServer(this.#route);
  }

  /** Counts the request and computes the traits by which daemons recognise it. */
  #identify(): void {
    this.#context.countRequest(this.#service);
    this.#context.countDemand(this.#service, this.#head.prompt?.inputTokens ?? 0);
    AttemptLoad.recordDemand(
      this.#context,
      this.#service,
      this.#account?.name,
      this.#head.prompt,
    );
    this.#fingerprint = RequestFingerprint.hashRequest({
      account: this.#account, body: this.#body, head: this.#head,
    });
    this.#traits = RequestTraits.listTraits(this.#sharedPartIds, this.#fingerprint);
  }

  #isResumable(): boolean {
    return this.#route?.kind === 'stream' && this.#route.isResumable;
  }

  /** Finds the version that began the stream which the caller resumes, and sends the request. */
  #findVersion(): void {
    this.#context.streamVersions.findVersion({
      account: this.#account?.name,
      receivedMs: this.#receivedMs,
      requestId: this.#head.resumedRequestId,
      service: this.#service,
    }).then(this.#withDefectHandler((version: string | undefined) => {
      if (this.#isEnded) return;
      this.#version = version;
      if (version === undefined) this.#refuse('origin_unknown');
      else this.#sendToServer(this.#route as RoutingConfig.Route);
    }), this.#withDefectHandler((error: unknown) => {
      throw error;
    }));
  }

  #sendToServer(route: RoutingConfig.Route): void {
    const canPassOn = StopPolicy.canPassOn(
      route,
      this.#computeRemainingMs(),
      this.#context.computeStopWait(),
    );
    if (!canPassOn && !this.#mayHaveRun) {
      this.#refuse('stopping');
      return;
    }
    const isFirst = this.#admission === undefined && this.#triedIds.size === 0;
    if (isFirst && this.#head.prompt !== undefined && this.#context.admissionGate.isEnabled) {
      this.#admitToEngine(route);
      return;
    }
    const chosen = this.#chooseServer();
    if (chosen !== undefined) this.#forward(chosen, route);
    else if (this.#blockedTrait !== undefined && !this.#mayHaveRun) {
      this.#refuse(BLOCKED_REFUSALS[RequestTraits.parseTrait(this.#blockedTrait).kind]);
    } else this.#apply(RetryPolicy.chooseFinalStep(undefined, this.#getState()));
  }

  /** Sends the request as soon as the load of the engines allows it. */
  #admitToEngine(route: RoutingConfig.Route): void {
    const { admissionGate, clock, fleetLoad } = this.#context;
    this.#admission = admissionGate.open({
      account: this.#account,
      choose: (isAllowed) => {
        try {
          return this.#chooseServer(isAllowed);
        } catch (error) {
          this.#handleDefect(error);
          return undefined;
        }
      },
      deadlineMs: this.#receivedMs + this.#timeoutMs,
      getAccountShare: () => (this.#account === undefined
        ? { accounts: 1, share: 0 }
        : fleetLoad.getAccountShare(this.#account.name, clock.readMonotonic())),
      onRefuse: this.#withDefectHandler(
        (code: Refusals.RefusalCode, retryAfterMs: Core.Millis) => this.#refuse(code, retryAfterMs),
      ),
      onSend: this.#withDefectHandler((admitted: ServerSelection.ChosenServer | undefined) => {
        if (admitted === undefined) this.#sendToServer(route);
        else this.#forward(admitted, route);
      }),
      route,
      service: this.#service,
    });
    this.#admission.start();
  }

  /**
   * Chooses the server for the next attempt.
   *
   * @param isAllowed check of the request's admission, which also finds out whether an engine has
   *   no room; an attempt without admission is not sent to such an engine
   */
  #chooseServer(
    isAllowed?: EnginePicker.AllowanceCheck,
  ): ServerSelection.ChosenServer | undefined {
    this.#blockedTrait = this.#context.crashReports.findBlocked(this.#traits);
    if (this.#blockedTrait !== undefined) return undefined;
    const chosen = ServerSelection.chooseServer(this.#context, {
      isAllowed,
      prompt: this.#head.prompt,
      service: this.#service,
      triedIds: this.#triedIds,
      version: this.#version,
    });
    const isFull = this.#context.admissionGate.isEnabled
      && chosen?.engine?.prediction.hasRoom === false;
    return isFull && isAllowed === undefined ? undefined : chosen;
  }

  #forward(chosen: ServerSelection.ChosenServer, route: RoutingConfig.Route): void {
    const { names } = this.#context;
    const { pooled } = chosen;
    const { server } = pooled;
    this.#triedIds.add(server.id);
    this.#lastChoice = chosen;
    this.#lastEnd = undefined;
    const allowance = Core.createSendAllowance(this.#context.answers.maxEventBytes);
    const exchange = BackendExchange.startExchange({
      agent: pooled.agent,
      allowance,
      body: this.#body,
      headers: BackendHeaders.buildBackendHeaders({
        account: this.#account,
        bodyBytes: this.#body.length,
        head: this.#head,
        lastEventId: this.#lastEventId,
        remainingMs: this.#computeRemainingMs(),
        route,
        serverId: server.id,
      }, names),
      host: server.host,
      requestIdHeader: names.requestId,
      method: this.#head.method,
      path: this.#head.path,
      port: server.port,
      requestId: this.#head.requestId,
    }, {
      onData: this.#withDefectHandler((bytes: Buffer) => this.#handleData(bytes)),
      onEnd: this.#withDefectHandler(() => this.#handleEnd()),
      onFailure: this.#withDefectHandler((failure: BackendExchange.ExchangeFailure) => (
        this.#handleFailure(failure)
      )),
      onHead: this.#withDefectHandler(
        (head: BackendExchange.ResponseHead) => this.#handleHead(head),
      ),
    });
    // An exchange that throws has sent nothing, so it is counted only from here on.
    this.#sentMs = this.#context.clock.readMonotonic();
    this.#sends += 1;
    const pendingPromptTokens = this.#recordDispatch(chosen);
    ServerSelection.recordSend(this.#context, server, this.#sentMs, pendingPromptTokens);
    if (pooled.inFlight === 0) ServerPool.observeActivity(pooled, this.#sentMs);
    pooled.inFlight += 1;
    pooled.pendingPromptTokens += pendingPromptTokens;
    const attempt: Attempt = {
      allowance,
      chosen,
      crashEvidence: CrashEvidence.createCrashEvidence(this.#context, this.#traits, server),
      exchange,
      framer: undefined,
      hasEvents: false,
      hasStarted: false,
      heldBytes: this.#context.bufferBudget.open(this.#withDefectHandler(() => (
        this.#abortResponse(attempt, MOST_HELD_REASON)
      ))),
      heldEvents: undefined,
      head: undefined,
      isStreaming: false,
      held: Core.createByteCollector(this.#context.answers.maxPlainBytes),
      load: AttemptLoad.openAttemptLoad(
        this.#context,
        chosen,
        this.#head.prompt,
        pendingPromptTokens,
      ),
      startedMs: this.#sentMs,
      pendingPromptTokens,
      version: server.version,
    };
    this.#attempt = attempt;
    this.#recordBeginning(attempt);
    this.#startSilenceTimer(this.#computeFirstSilenceMs(route));
  }

  /**
   * Records the version of the server before the caller has an event of it, unless a stream without
   * a record is known to be of that version. Events wait until the store has the record.
   */
  #recordBeginning(attempt: Attempt): void {
    const { streamVersions } = this.#context;
    const { requestId } = this.#head;
    // Without an id, a caller cannot name the stream to resume it.
    const canBegin = this.#isResumable() && this.#version === undefined && requestId !== '';
    if (!canBegin) return;
    if (!this.#hasRecord && !streamVersions.needsRecord(this.#service, attempt.version)) return;
    this.#hasRecord = true;
    // eslint-disable-next-line no-param-reassign
    attempt.heldEvents = [];
    this.#recordEnds.push(streamVersions.record({
      account: this.#account?.name,
      attempt: this.#triedIds.size,
      requestId,
      version: attempt.version,
    }, this.#withDefectHandler(() => {
      if (this.#attempt === attempt) this.#releaseEvents(attempt);
    })));
  }

  /**
   * Records that the server will have the prompt's shared prefix in its cache.
   *
   * @returns the prompt tokens that the server has to prefill
   */
  #recordDispatch({ cachedTokens, pooled, prefixHash }: ServerSelection.ChosenServer): number {
    const { prompt } = this.#head;
    if (prompt === undefined) return 0;
    if (prefixHash !== undefined) {
      const { cache, clock } = this.#context;
      const tokens = ServerPicker.countSharedPrefixTokens(prompt);
      const nowMs = clock.readMonotonic();
      cache.recordDispatch(pooled.server.id, prefixHash, tokens, nowMs);
    }
    return Math.max(0, prompt.inputTokens - cachedTokens);
  }

  #computeRemainingMs(): Core.Millis {
    return this.#receivedMs + this.#timeoutMs - this.#context.clock.readMonotonic();
  }

  #getState(): RetryPolicy.AttemptState {
    return {
      canContinue: !this.#hasUnidentifiedEvent,
      isHeadSent: this.#isHeadSent,
      remainingMs: this.#computeRemainingMs(),
      mayHaveRun: this.#mayHaveRun,
      undelivered: this.#undelivered,
      route: this.#route as RoutingConfig.Route,
      sends: this.#sends,
    };
  }

  #computeFirstSilenceMs(route: RoutingConfig.Route): Core.Millis | undefined {
    if (!RetryPolicy.canRepeat(route, this.#sends)) return undefined;
    if (route.kind !== 'stream') return this.#computeRemainingMs() * MAX_SILENCE_SHARE;
    const maxSilenceMs = Math.min(
      route.targetMs * 2,
      this.#computeRemainingMs() * MAX_SILENCE_SHARE,
    );
    return Math.max(MIN_SILENCE_MS, maxSilenceMs);
  }

  #startSilenceTimer(maxSilenceMs: Core.Millis | undefined): void {
    clearTimeout(this.#silenceTimer);
    if (maxSilenceMs === undefined) return;
    this.#silenceTimer = setTimeout(
      this.#withDefectHandler(() => this.#handleSilence(maxSilenceMs)),
      maxSilenceMs,
    );
  }

  /** Checks whether the request may end the server of an attempt, as it may have ended others. */
  #isSuspect({ crashEvidence }: Attempt): boolean {
    return !crashEvidence.isAnswered() && this.#context.crashReports.isSuspect(this.#traits);
  }

  /**
   * Abandons a silent server only if another one can take over the request at once; otherwise
   * keeps waiting, because the response may still arrive.
   */
  #handleSilence(maxSilenceMs: Core.Millis): void {
    const chosen = this.#chooseServer();
    const canReplace = chosen !== undefined
      && !this.#isSuspect(this.#attempt as Attempt)
      && RetryPolicy.canRetry('silent', this.#getState())
      && this.#claimRetry();
    if (!canReplace) {
      this.#startSilenceTimer(maxSilenceMs);
      return;
    }
    this.#attempt?.exchange.cancel();
    this.#closeAttempt('silent', 'silent');
    this.#forward(chosen, this.#route as RoutingConfig.Route);
  }

  #handleHead(head: BackendExchange.ResponseHead): void {
    const attempt = this.#attempt as Attempt;
    const { names } = this.#context;
    attempt.head = head;
    this.#lastEnd = { framing: head.framing, partialEventBytes: undefined };
    ServerPool.observeActivity(attempt.chosen.pooled, this.#context.clock.readMonotonic());
    ServerObservation.observeAvailability(
      this.#context,
      attempt.chosen.pooled,
      head,
      this.#head.requestId,
    );
    ServerObservation.observeRequestLimit(
      this.#context,
      attempt.chosen.pooled,
      head,
      attempt.startedMs,
      this.#head.requestId,
    );
    const isMisdirected = head.status === BackendExchange.MISDIRECTED_STATUS;
    if (isMisdirected || head.headers[names.notRun] !== undefined) {
      // Without the request id, a response on a reused connection may belong to an earlier request.
      const isOwnResponse = head.hasRequestId || !head.isReusedConnection;
      if (!isOwnResponse) {
        attempt.exchange.cancel();
        this.#handleAttemptFailure('broken', 'unidentified-refusal');
      } else if (isMisdirected) {
        attempt.exchange.cancel();
        this.#handleAttemptFailure('misdirected', 'misdirected');
      } else {
        attempt.exchange.drain();
        this.#handleAttemptFailure('not-run', `not-run-${head.status}`);
      }
      return;
    }
    const isSuccess = BackendExchange.isSuccessStatus(head.status);
    const isValid = head.hasRequestId && Core.isFinalStatus(head.status)
      && head.headers['content-encoding'] === undefined
      && (!isSuccess || head.headers[names.serverSignature] !== undefined);
    const isWritable = Core.isWritableText(head.statusMessage)
      && Core.areWritableHeaders(head.rawHeaders);
    if (!isWritable) {
      attempt.exchange.cancel();
      this.#handleAttemptFailure('broken', 'malformed-head');
      return;
    }
    if (!isValid) {
      attempt.exchange.cancel();
      this.#handleAttemptFailure('broken', 'unsigned-answer');
      return;
    }
    this.#mayHaveRun = true;
    ServerPool.observeAcceptance(attempt.chosen.pooled);
    attempt.crashEvidence.observeHead();
    if (isSuccess && this.#route?.kind === 'stream' && HeaderRules.isEventStream(head)) {
      attempt.framer = EventFramer.createEventFramer(
        this.#context.answers.maxEventBytes,
      );
    } else if (this.#isHeadSent) {
      // Only the rest of the stream may follow the part that the caller has.
      attempt.exchange.drain();
      this.#handleAttemptFailure('failed', `not-resumed-${head.status}`);
    } else if (this.#isUnprovedRefusal(head.status)) {
      attempt.exchange.drain();
      this.#handleAttemptFailure('failed', `unproved-refusal-${head.status}`);
    } else this.#recordStart(attempt);
  }

  /**
   * Checks whether callers would take a status for the promise that their request has not run,
   * although its server does not state that and the request must not run twice.
   */
  #isUnprovedRefusal(status: number): boolean {
    const route = this.#route as RoutingConfig.Route;
    return Core.isNotRunStatus(status) && !RetryPolicy.isRepeatable(route);
  }

  /** Records that the server began to respond to this attempt. */
  #recordStart(attempt: Attempt): void {
    if (attempt.hasStarted) return;
    const nowMs = this.#context.clock.readMonotonic();
    const { pooled } = attempt.chosen;
    // eslint-disable-next-line no-param-reassign
    attempt.hasStarted = true;
    pooled.pendingPromptTokens -= attempt.pendingPromptTokens;
    // The head of a response that is no stream says nothing about the first token.
    attempt.load.observeStart(attempt.framer === undefined ? undefined : nowMs - attempt.startedMs);
    if (attempt.framer !== undefined) this.#setStreaming(attempt, true);
    ServerObservation.observeLatency(
      this.#context,
      attempt.chosen,
      nowMs - attempt.startedMs,
      this.#head.prompt !== undefined,
    );
    this.#firstByteMs ??= nowMs;
    this.#countStartedRequest();
  }

  /** Counts the request for the usage of its account; once, however often it is resumed. */
  #countStartedRequest(): void {
    if (this.#isStartCounted || this.#account === undefined) return;
    this.#isStartCounted = true;
    this.#context.countStartedRequest(this.#account.name);
  }

  #handleData(bytes: Buffer): void {
    const attempt = this.#attempt as Attempt;
    ServerPool.observeActivity(attempt.chosen.pooled, this.#context.clock.readMonotonic());
    if (attempt.framer === undefined) {
      attempt.allowance.earn(bytes.length);
      this.#bufferBytes(attempt, bytes);
      return;
    }
    const { events, isTooLong } = attempt.framer.push(bytes);
    const surplusIndex = findSurplusResponse(attempt, events);
    const ownEvents = surplusIndex < 0 ? events : events.slice(0, surplusIndex);
    if (ownEvents.length > 0) attempt.hasEvents = true;
    const newEvents = ownEvents.filter(({ id }) => (
      id === undefined || this.#lastEventId === undefined || id > this.#lastEventId
    ));
    if (newEvents.some(({ hasData }) => hasData)) attempt.allowance.reset();
    else attempt.allowance.spendPieces(events.length);
    this.#handleEvents(attempt, newEvents);
    if (surplusIndex >= 0) this.#abortResponse(attempt, 'surplus-response');
    else if (isTooLong) this.#abortResponse(attempt, 'event-too-long');
    else this.#updateHeldBytes(attempt);
  }

  #bufferBytes(attempt: Attempt, bytes: Buffer): void {
    if (attempt.held.append(bytes)) this.#updateHeldBytes(attempt);
    else this.#abortResponse(attempt, 'answer-too-long');
  }

  /** Ends the response if it holds most of what the daemon may hold of all responses. */
  #updateHeldBytes(attempt: Attempt): void {
    if (this.#attempt !== attempt) return;
    const bytes = attempt.held.getLength() + countHeldBytes(attempt.heldEvents ?? [])
      + (attempt.framer?.countPendingBytes() ?? 0);
    if (!attempt.heldBytes.set(bytes)) this.#abortResponse(attempt, MOST_HELD_REASON);
  }

  #abortResponse(attempt: Attempt, reason: string): void {
    attempt.exchange.cancel();
    this.#handleAttemptFailure('broken', reason);
  }

  #handleEvents(attempt: Attempt, events: readonly EventFramer.StreamEvent[]): void {
    if (events.length === 0) return;
    // Comments and events without data keep the connection open but show no progress of the server.
    const hasData = events.some((event) => event.hasData);
    if (hasData) {
      this.#recordStart(attempt);
      attempt.crashEvidence.observeEvent();
    }
    if (attempt.heldEvents === undefined) this.#relayEvents(attempt, events);
    else attempt.heldEvents.push(...events);
    if (!hasData) return;
    const route = this.#route as RoutingConfig.Route;
    const canResume = RetryPolicy.canRepeat(route, this.#sends);
    this.#startSilenceTimer(canResume
      ? Math.max(MIN_SILENCE_MS, route.pauseTargetMs * MAX_SILENCE_PAUSES)
      : undefined);
  }

  /** Relays the events that waited for the record of the stream's beginning. */
  #releaseEvents(attempt: Attempt): void {
    const { heldEvents = [] } = attempt;
    // eslint-disable-next-line no-param-reassign
    attempt.heldEvents = undefined;
    this.#updateHeldBytes(attempt);
    if (heldEvents.length > 0) this.#relayEvents(attempt, heldEvents);
  }

  #relayEvents(attempt: Attempt, events: readonly EventFramer.StreamEvent[]): void {
    this.#version ??= attempt.version;
    this.#relay(events.length === 1
      ? (events[0] as EventFramer.StreamEvent).bytes
      : Buffer.concat(events.map((event) => event.bytes)));
    if (!events.some(({ hasData }) => hasData)) return;
    const last = events.findLast(({ hasData, id }) => hasData || id !== undefined);
    this.#hasUnidentifiedEvent = last?.id === undefined;
    this.#lastEventId = events.findLast(({ id }) => id !== undefined)?.id ?? this.#lastEventId;
  }

  #relay(bytes: Buffer): void {
    const attempt = this.#attempt as Attempt;
    if (!this.#isHeadSent) this.#writeHead(attempt.head as BackendExchange.ResponseHead, undefined);
    if (this.#response.write(bytes)) return;
    attempt.exchange.pause();
    this.#setStreaming(attempt, false);
    this.#response.once('drain', this.#withDefectHandler(() => {
      if (this.#attempt === undefined) return;
      this.#attempt.exchange.resume();
      if (this.#attempt.hasStarted) this.#setStreaming(this.#attempt, true);
    }));
  }

  /**
   * Counts the stream among the active streams of its server. A stream that is paused by its
   * caller's backpressure is not counted, because its silence says nothing about the server.
   */
  #setStreaming(attempt: Attempt, isStreaming: boolean): void {
    if (attempt.isStreaming === isStreaming) return;
    const { pooled } = attempt.chosen;
    // eslint-disable-next-line no-param-reassign
    attempt.isStreaming = isStreaming;
    pooled.activeStreams += isStreaming ? 1 : -1;
    if (isStreaming) ServerPool.observeActivity(pooled, this.#context.clock.readMonotonic());
  }

  #writeHead(head: BackendExchange.ResponseHead, length: number | undefined): void {
    this.#isHeadSent = true;
    const headers = HeaderRules.selectResponseHeaders(head.rawHeaders);
    if (length !== undefined) headers.push('Content-Length', String(length));
    this.#addConnectionHeader(headers);
    this.#response.writeHead(head.status, head.statusMessage, headers);
  }

  #addConnectionHeader(headers: string[]): void {
    if (this.#context.getPhase() !== 'running') headers.push('Connection', 'close');
  }

  #handleEnd(): void {
    const attempt = this.#attempt as Attempt;
    const { head } = attempt;
    if (head === undefined) {
      this.#handleAttemptFailure('broken', 'no-head');
      return;
    }
    if (attempt.framer === undefined) {
      this.#handleCompleteResponse(attempt, head);
      return;
    }
    const remainder = attempt.framer.takeRemainder();
    this.#lastEnd = { framing: head.framing, partialEventBytes: remainder.bytes.length };
    if (remainder.isPartialEvent) {
      this.#handleServerEnd('partial-event');
      return;
    }
    if (!attempt.hasEvents && !this.#canBeEmpty(head, remainder)) {
      this.#handleServerEnd('empty-stream');
      return;
    }
    attempt.crashEvidence.observeAnswer();
    // The caller gets the whole stream at once, so it has none to resume.
    this.#releaseEvents(attempt);
    if (remainder.bytes.length > 0) this.#relay(remainder.bytes);
    ServerObservation.observeOutcome(this.#context, attempt.chosen.pooled, false);
    const elapsedMs = this.#context.clock.readMonotonic() - attempt.startedMs;
    EngineRates.observeAnswer(this.#context, attempt.chosen, elapsedMs);
    this.#response.end();
    this.#end('answered', head.status);
  }

  /**
   * Checks whether a stream without events can be complete. The rest of a resumed stream can, but
   * an end of its connection may as well be that of its server.
   */
  #canBeEmpty(
    { framing }: BackendExchange.ResponseHead,
    { bytes }: EventFramer.StreamRemainder,
  ): boolean {
    return this.#isHeadSent ? framing !== 'connection' : bytes.length > 0;
  }

  #handleCompleteResponse(attempt: Attempt, head: BackendExchange.ResponseHead): void {
    const hasSurplus = head.framing === 'connection' && SurplusResponse.hasSurplusResponse(
      attempt.held.getBytes(),
      this.#context.names.requestId,
    );
    if (hasSurplus) {
      this.#handleAttemptFailure('broken', 'surplus-response');
      return;
    }
    const isFailure = head.status >= FIRST_SERVER_ERROR_STATUS;
    if (isFailure) {
      const state = this.#getState();
      const step = RetryPolicy.chooseNextStep('failed', state, () => this.#claimRetry());
      if (step._tag === 'Retry') {
        this.#closeAttempt('failed', `status-${head.status}`);
        this.#dispatch();
        return;
      }
    }
    ServerObservation.observeOutcome(this.#context, attempt.chosen.pooled, isFailure);
    if (!isFailure) attempt.crashEvidence.observeAnswer();
    const body = attempt.held.take();
    this.#writeHead(head, body.length);
    this.#response.end(body);
    this.#end(isFailure ? 'server_failed' : 'answered', head.status);
  }

  /** Handles the end of a connection that an end of its server may have caused. */
  #handleServerEnd(reason: string): void {
    this.#attempt?.crashEvidence.observeEnd();
    this.#handleAttemptFailure('broken', reason);
  }

  #handleFailure(failure: BackendExchange.ExchangeFailure): void {
    if (failure._tag === 'Broken' && failure.isConnectionEnd) {
      this.#handleServerEnd(failure.reason);
      return;
    }
    this.#handleAttemptFailure(failure._tag === 'NotSent' ? 'not-sent' : 'broken', failure.reason);
  }

  #handleAttemptFailure(kind: RetryPolicy.FailureKind, reason: string): void {
    if (this.#isEnded) return;
    const attempt = this.#attempt as Attempt;
    this.#closeAttempt(kind, reason);
    const state = this.#getState();
    this.#apply(kind === 'broken' && this.#isSuspect(attempt)
      ? RetryPolicy.chooseFinalStep(kind, state)
      : RetryPolicy.chooseNextStep(kind, state, () => this.#claimRetry()));
  }

  /** Updates counters, server health, metrics and log for a failed attempt. */
  #closeAttempt(kind: RetryPolicy.FailureKind, reason: string): void {
    const attempt = this.#attempt as Attempt;
    const { server } = attempt.chosen.pooled;
    clearTimeout(this.#silenceTimer);
    if (kind === 'not-sent' || kind === 'misdirected') {
      this.#sends -= 1;
      this.#undelivered += 1;
    }
    if (kind === 'broken' || kind === 'silent' || kind === 'failed') {
      this.#mayHaveRun = true;
      // A request without a prompt that reached a server most likely began to run at once.
      if (this.#head.prompt === undefined) this.#countStartedRequest();
    }
    // A server at capacity is not faulty; a misdirected request shows that its server is gone.
    if (kind === 'not-run') {
      attempt.load.observeRefusal();
      ServerPool.observeRefusal(attempt.chosen.pooled, this.#context.clock.readMonotonic());
    } else ServerObservation.observeOutcome(this.#context, attempt.chosen.pooled, true);
    this.#releaseAttempt(attempt);
    this.#context.metrics.addAttemptFailure(this.#service, kind);
    const suppressed = this.#context.failedLogLimiter.take();
    if (suppressed === undefined) return;
    this.#context.logger.info({
      choice: this.#describeChoice(),
      elapsedMs: Math.round(this.#context.clock.readMonotonic() - attempt.startedMs),
      end: kind,
      fingerprint: kind === 'broken' ? this.#fingerprint : undefined,
      lastEventId: this.#lastEventId,
      promptParts: this.#head.prompt === undefined ? undefined : this.#sharedPartIds,
      reason,
      requestId: this.#head.requestId,
      responseEnd: this.#lastEnd,
      sends: this.#sends,
      server: server.id,
      service: this.#service,
      suppressed,
      version: attempt.version,
    }, 'attempt failed');
  }

  #releaseAttempt(attempt: Attempt): void {
    const { pooled } = attempt.chosen;
    attempt.heldBytes.close();
    attempt.load.end();
    pooled.inFlight -= 1;
    if (!attempt.hasStarted) pooled.pendingPromptTokens -= attempt.pendingPromptTokens;
    this.#setStreaming(attempt, false);
    this.#attempt = undefined;
  }

  #claimRetry(): boolean {
    return this.#context.claimRetry(this.#service);
  }

  #apply(step: RetryPolicy.NextStep): void {
    const handlers = {
      Cut: () => {
        ResponseAbort.abortResponse(this.#response);
        this.#end('stream_cut', undefined);
      },
      Refuse: ({ code }: { readonly code: Refusals.RefusalCode }) => this.#refuse(code),
      Retry: () => this.#dispatch(),
    };
    (handlers[step._tag] as (step: RetryPolicy.NextStep) => void)(step);
  }

  #handleTimeout(): void {
    this.#abandon('stream_timed_out', 'timed_out', 'timed_out_not_run');
  }

  /** Ends the request because the daemon ends. */
  stop(): void {
    this.#withDefectHandler(() => this.#abandon('stream_cut', 'stopped', 'stopping'))();
  }

  /** Ends the request without waiting for its server, by what its caller has and by what ran. */
  #abandon(
    streamOutcome: string,
    ifRun: Refusals.RefusalCode,
    ifNotRun: Refusals.RefusalCode,
  ): void {
    if (this.#isEnded) return;
    if (this.#attempt !== undefined) {
      this.#mayHaveRun = true;
      this.#attempt.exchange.cancel();
      if (this.#head.prompt === undefined) this.#countStartedRequest();
    }
    if (this.#isHeadSent) {
      ResponseAbort.abortResponse(this.#response);
      this.#end(streamOutcome, undefined);
    } else this.#refuse(this.#mayHaveRun ? ifRun : ifNotRun);
  }

  #refuse(code: Refusals.RefusalCode, predictedMs: Core.Millis = 0): void {
    const refusal: Refusals.Refusal = Refusals.REFUSALS[code];
    const body = Refusals.buildRefusalBody(code);
    const headers = ['Content-Type', 'application/json'];
    const afterMs = this.#computeRetryAfter(code, refusal, predictedMs);
    if (afterMs !== undefined) headers.push('Retry-After', (afterMs / 1_000).toFixed(3));
    const { requestId } = this.#head;
    if (requestId !== '' && Core.isWritableText(requestId)) {
      headers.push(this.#context.names.requestId, requestId);
    }
    const isLast = this.#context.getPhase() !== 'running';
    Core.sendWholeAnswer(this.#request, this.#response, {
      body, headers, isLast, status: refusal.status,
    });
    this.#end(code, refusal.status);
  }

  #computeRetryAfter(
    code: Refusals.RefusalCode,
    { isLasting, retryAfterMs }: Refusals.Refusal,
    predictedMs: Core.Millis,
  ): Core.Millis | undefined {
    if (retryAfterMs === undefined || isLasting === true) return retryAfterMs;
    const pauseMs = code === 'no_server'
      ? ServerSelection.computeRetryDelay(this.#context, this.#service)
      : 0;
    return Refusals.computeRetryAfter(
      Math.max(retryAfterMs, pauseMs, predictedMs),
      this.#computeRemainingMs(),
      this.#context.random,
    );
  }

  #end(outcome: string, status: number | undefined): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    clearTimeout(this.#timeoutTimer);
    clearTimeout(this.#silenceTimer);
    this.#admission?.cancel();
    this.#cancelBody?.();
    this.#recordEnds.forEach((endRecord) => endRecord(outcome === 'answered'));
    const server = this.#attempt?.chosen.pooled.server.id;
    if (this.#attempt !== undefined) {
      const attempt = this.#attempt;
      if (outcome !== 'answered' && outcome !== 'server_failed') attempt.exchange.cancel();
      this.#releaseAttempt(attempt);
    }
    const nowMs = this.#context.clock.readMonotonic();
    const { metrics } = this.#context;
    metrics.addRequest(this.#service, outcome);
    metrics.observe('answer', this.#service, nowMs - this.#receivedMs);
    if (this.#firstByteMs !== undefined) {
      metrics.observe('first', this.#service, this.#firstByteMs - this.#receivedMs);
    }
    this.#logEnd(outcome, status, server, nowMs);
    this.#onEnd();
  }

  #describeChoice(): ChoiceSummary | undefined {
    if (this.#lastChoice === undefined) return undefined;
    const { candidates, costMs, limitPerS } = this.#lastChoice;
    return { candidates, costMs: Math.round(costMs), limitPerS };
  }

  #describeAdmission(): AdmissionGate.AdmissionSummary | undefined {
    const summary = this.#admission?.describe();
    return summary === undefined ? undefined : {
      ...summary,
      allowanceMs: summary.allowanceMs === undefined ? undefined : Math.round(summary.allowanceMs),
      loadAgeMs: Math.round(summary.loadAgeMs),
      predictedWaitMs: Math.round(summary.predictedWaitMs),
      waitedMs: Math.round(summary.waitedMs),
    };
  }

  #describeBlock(): { readonly blockedPart?: string; readonly fingerprint?: string } {
    if (this.#blockedTrait === undefined) return {};
    const { id, kind } = RequestTraits.parseTrait(this.#blockedTrait);
    return kind === 'fingerprint' ? { fingerprint: id } : { blockedPart: id };
  }

  #logEnd(
    outcome: string,
    status: number | undefined,
    server: string | undefined,
    nowMs: Core.Millis,
  ): void {
    const { answeredLogLimiter, failedLogLimiter, logger } = this.#context;
    const suppressed = (outcome === 'answered' ? answeredLogLimiter : failedLogLimiter).take();
    if (suppressed === undefined) return;
    logger.info({
      account: this.#account?.name,
      admission: this.#describeAdmission(),
      ...this.#describeBlock(),
      configVersion: this.#configVersion,
      elapsedMs: Math.round(nowMs - this.#receivedMs),
      choice: this.#describeChoice(),
      firstMs: this.#firstByteMs === undefined
        ? undefined
        : Math.round(this.#firstByteMs - this.#receivedMs),
      keyProofAgeMs: Math.round(this.#context.getKeyProofAge() ?? -1),
      lastEventId: this.#lastEventId,
      limitMs: Number.isFinite(this.#timeoutMs) ? this.#timeoutMs : undefined,
      mayHaveRun: this.#mayHaveRun,
      outcome,
      requestId: this.#head.requestId,
      responseEnd: this.#lastEnd,
      resumedRequestId: this.#head.resumedRequestId,
      route: this.#route?.name,
      sends: this.#sends,
      sentMs: this.#sentMs === undefined
        ? undefined
        : Math.round(this.#sentMs - this.#receivedMs),
      server,
      service: this.#service,
      status,
      suppressed,
      version: this.#version,
    }, 'request ended');
  }
}
