/**
 * The life of one admitted request: sendings, repeats, and exactly one final answer.
 *
 * A request that may run once is sent again only when the backend server has said that it did not
 * run it, or when no byte of it can have arrived. Everything else may be sent to another backend
 * server within the route's attempts and the budget of repeats.
 */
import {
  EventStream,
  firstEventAfter,
  plainStallAfter,
  stallAfter,
} from '../../controllers/forwarding/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { Attempt, AttemptAnswer, AttemptFailure, AttemptSender } from '../backends/attempt.js';
import type { GatewayContext } from '../types.js';
import type { Backends, ChosenTarget } from './backends.js';
import type { Reply } from './reply.js';
import type { AdmittedRequest, RequestOutcome } from './types.js';
import type { WatchedAttempt, Watchdog, WatchedRequest } from './watchdog.js';

/** What a run needs beside its request. */
export interface RunTools {
  context: GatewayContext;
  backends: Backends;
  watchdog: Watchdog;
  send: AttemptSender;
}

/** One sending with what came of it. */
interface Sending {
  attempt: Attempt;
  watched: WatchedAttempt;
  answer?: AttemptAnswer;
  body: Buffer[];
  /** Moved on from: what still comes of it is not used. */
  isOver: boolean;
}

/** Sendings that backend servers refused unrun, beyond which a request is given up. */
const MOST_REFUSALS = 4;
/** Longest wait for a target, as a part of the time that the caller has left. */
const WAIT_PART = 0.4;
const LONGEST_WAIT_MS: Milliseconds = 1_500;
/** Before a target that refused a request is asked again: a slot comes free in about this time. */
const RETRY_SAME_MS: Milliseconds = 150;
/** A replica that is being formed opens within about this time. */
const RETRY_AFTER_MS: Milliseconds = 700;
/** An answer that stands still alone is lost: many times the longest pause between two events. */
const LOST_ANSWER_MS: Milliseconds = 1_500;
/** Of the time left, what a backend server is not given: the way back takes some of it. */
const DEADLINE_MARGIN_MS: Milliseconds = 5;
/** Less time than this is not worth a sending. */
const LEAST_DEADLINE_MS: Milliseconds = 20;

/** Drives one request. */
export class RequestRun implements WatchedRequest {
  private readonly sendings = new Set<Sending>();
  private readonly tried = new Set<string>();
  private readonly stream: EventStream | undefined;
  private readonly startedAt: Milliseconds;
  /** Sendings that may have run. */
  private runs = 0;
  private refusals = 0;
  private sends = 0;
  private isFinished = false;
  private waitsUntil: Milliseconds | undefined;
  private nextTryAt = 0;
  private firstByteAt: Milliseconds | undefined;
  private lastEventAt: Milliseconds | undefined;
  /** A backend server's own failure, passed on when nothing better comes. */
  private failedAnswer: Sending | undefined;
  private lastReason = '';

  constructor(
    private readonly request: AdmittedRequest,
    private readonly reply: Reply,
    private readonly tools: RunTools,
    private readonly onFinish: () => void,
  ) {
    this.startedAt = tools.context.clock.now();
    if (request.route.repeatability === 'stream') {
      this.stream = new EventStream(request.caller.lastEventId);
    }
  }

  start(): void {
    this.tools.watchdog.requests.add(this);
    this.tools.backends.recordRequest(this.request.service.name);
    this.sendNext('first');
  }

  /** The caller closed its connection. */
  abandon(): void {
    if (this.isFinished) return;
    this.finish('callerGone', 'the caller left');
  }

  onTick(now: Milliseconds): void {
    if (this.isFinished) return;
    if (now >= this.request.answerBy) {
      this.expire();
      return;
    }
    if (this.waitsUntil === undefined) return;
    if (this.sendings.size === 0 && now >= this.nextTryAt) this.sendNext('waited');
    this.endWait(now);
  }

  private endWait(now: Milliseconds): void {
    const isOver = this.waitsUntil !== undefined && now >= this.waitsUntil;
    if (isOver && !this.isFinished && this.sendings.size === 0) this.giveUp('no target in time');
  }

  private get isRepeatable(): boolean {
    const { repeatability, resumable } = this.request.route;
    return repeatability === 'safe' || (repeatability === 'stream' && resumable);
  }

  // --- sending ---

  private sendNext(why: string): void {
    const { request, tools } = this;
    const { service, model } = request;
    const chosen = tools.backends.choose(service, model?.name, this.tried);
    if (chosen === undefined) {
      this.waitForTarget(why);
      return;
    }
    if (this.sends > 0 && !tools.backends.takeRepeat(service.name)) {
      this.giveUp('no repeats left');
      return;
    }
    this.waitsUntil = undefined;
    this.sendTo(chosen, why);
  }

  private waitForTarget(why: string): void {
    if (this.sendings.size > 0) return;
    const now = this.tools.context.clock.now();
    if (this.waitsUntil === undefined) {
      const leftMs = this.request.answerBy - now;
      this.waitsUntil = now + Math.min(LONGEST_WAIT_MS, leftMs * WAIT_PART);
      this.log('requestWaits', {
        why,
        targets: this.tools.backends.count(this.request.service, this.request.model?.name),
        tried: this.tried.size,
      });
    }
    // A target that refused or failed before may be the only one there is; it needs a moment.
    if (this.tried.size > 0) this.nextTryAt = now + RETRY_SAME_MS;
    if (this.isRepeatable) this.tried.clear();
  }

  private sendTo(chosen: ChosenTarget, why: string): void {
    const { request, tools, stream } = this;
    const { clock, platform } = tools.context;
    const now = clock.now();
    const leftMs = request.answerBy - now - DEADLINE_MARGIN_MS;
    if (leftMs < LEAST_DEADLINE_MS) return;
    const { server } = chosen.target;
    this.tried.add(server.id);
    this.sends += 1;
    const lastEventId = stream ? stream.lastEventId : request.caller.lastEventId;
    const headers = platform.requests.encodeRequest(request.incoming.rawHeaders, {
      server: server.id,
      deadlineMs: leftMs,
      priority: clampPriority(request.holder?.priority ?? request.route.priority),
      ...(request.holder && { workspace: request.holder.workspace }),
      ...(lastEventId !== undefined && { lastEventId }),
    });
    this.log('requestSent', {
      why,
      server: server.id,
      group: server.engine?.membership?.group,
      attempt: this.sends,
      inFlight: chosen.inFlight,
      candidates: chosen.candidates,
      remote: chosen.isRemote,
      fleetRevision: tools.context.board.fleet.read().revision,
      leftMs: Math.round(leftMs),
      from: lastEventId,
    });
    tools.backends.sent(server.id);
    stream?.startRun();
    const watched = this.watch(chosen, now);
    const sending: Sending = { watched, body: [], isOver: false } as unknown as Sending;
    this.sendings.add(sending);
    tools.watchdog.attempts.add(watched);
    watched.onStall = (kind) => {
      this.onStall(sending, kind);
    };
    sending.attempt = tools.send(
      {
        to: { id: server.id, address: server.address },
        method: request.incoming.method ?? 'GET',
        path: request.incoming.url ?? '/',
        headers,
        body: request.body,
        requestId: request.caller.id,
        fresh: !this.isRepeatable,
      },
      {
        onAnswer: (answer) => {
          this.onAnswer(sending, answer);
        },
        onData: (chunk) => {
          this.onData(sending, chunk);
        },
        onEnd: () => {
          this.onEnd(sending);
        },
        onFailure: (failure) => {
          this.onFailure(sending, failure);
        },
      },
    );
  }

  private watch({ target, inFlight, slots }: ChosenTarget, now: Milliseconds): WatchedAttempt {
    const { route, model, service, caller } = this.request;
    const profile = service.engine;
    const common = {
      server: target.server.id,
      movedAt: now,
      paused: false,
      onStall: () => undefined,
    };
    if (!profile || !model) {
      const limitMs = plainStallAfter(route.targetMs);
      return { ...common, serverLimitMs: limitMs, ownLimitMs: limitMs };
    }
    const firstEventMs = firstEventAfter(profile, model, caller.promptTokens);
    return {
      ...common,
      serverLimitMs: inFlight < slots ? firstEventMs : Infinity,
      ownLimitMs: Math.max(LOST_ANSWER_MS, 2 * firstEventMs),
    };
  }

  // --- what comes back ---

  private onAnswer(sending: Sending, answer: AttemptAnswer): void {
    const { backends } = this.tools;
    const { server } = sending.watched;
    sending.answer = answer;
    sending.watched.movedAt = this.tools.context.clock.now();
    if (!answer.notRun) backends.progressed(server);
  }

  private onData(sending: Sending, chunk: Buffer): void {
    const { answer } = sending;
    if (this.isFinished || sending.isOver || answer === undefined) return;
    const { clock } = this.tools.context;
    sending.watched.movedAt = clock.now();
    if (this.stream && isGood(answer)) {
      this.tools.backends.progressed(sending.watched.server);
      this.relayEvents(sending, answer, this.stream, chunk);
    } else {
      sending.body.push(chunk);
    }
  }

  private relayEvents(
    sending: Sending,
    answer: AttemptAnswer,
    stream: EventStream,
    chunk: Buffer,
  ): void {
    const part = stream.push(chunk);
    if (part.kind === 'gap') {
      this.end(sending, 'events are missing');
      sending.attempt.cancel();
      this.afterBroken('events are missing in the answer');
      return;
    }
    if (part.count === 0) return;
    const { clock, platform } = this.tools.context;
    const now = clock.now();
    this.tightenWatch(sending);
    if (this.reply.isUnsent) {
      this.firstByteAt = now;
      const headers = platform.requests.relayAnswer(answer.headers);
      this.reply.begin(answer.status, headers, answer.framing === 'connection');
    }
    this.lastEventAt = now;
    if (this.reply.write(part.bytes)) return;
    sending.attempt.pause();
    sending.watched.paused = true;
    this.reply.onDrain(() => {
      sending.watched.paused = false;
      sending.watched.movedAt = clock.now();
      sending.attempt.resume();
    });
  }

  /** After its first event a stream is held to the pauses between events. */
  private tightenWatch({ watched }: Sending): void {
    const { service, model } = this.request;
    if (!service.engine || !model) return;
    watched.serverLimitMs = stallAfter(service.engine, model);
    watched.ownLimitMs = LOST_ANSWER_MS;
  }

  private onEnd(sending: Sending): void {
    const { answer } = sending;
    if (this.isFinished || sending.isOver || answer === undefined) return;
    const { backends } = this.tools;
    const server = sending.watched.server;
    if (answer.notRun) {
      this.end(sending, `refused with ${answer.status}`);
      backends.answered(server, true);
      this.afterRefusal();
      return;
    }
    if (isGood(answer)) {
      this.end(sending, 'answered');
      backends.answered(server, false);
      this.complete(sending, answer);
      return;
    }
    this.end(sending, `status ${answer.status}`);
    backends.answered(server, answer.status >= 500);
    if (!answer.signed || answer.encoded) {
      this.afterBroken(`an answer with status ${answer.status} that is not the backend server's`);
      return;
    }
    this.failedAnswer = sending;
    this.afterBroken(`the backend server answered ${answer.status}`, answer.status < 500);
  }

  private complete(sending: Sending, answer: AttemptAnswer): void {
    const headers = this.tools.context.platform.requests.relayAnswer(answer.headers);
    const { stream, reply } = this;
    if (stream?.isMidEvent) {
      this.afterBroken('the answer ended within an event');
      return;
    }
    if (stream) {
      if (reply.isUnsent) reply.begin(answer.status, headers, false);
      reply.end();
    } else {
      sendPlain(reply, answer, headers, Buffer.concat(sending.body));
    }
    this.finish('answered', `${answer.status} by ${answer.framing}`);
  }

  private onFailure(sending: Sending, failure: AttemptFailure): void {
    if (this.isFinished || sending.isOver) return;
    const { server } = sending.watched;
    this.end(sending, failure.reason, failure.kind);
    switch (failure.kind) {
      case 'notSent':
        this.tools.backends.suspect(server, failure.reason);
        this.afterRefusal();
        break;
      case 'broken':
        this.tools.backends.answered(server, true);
        this.afterBroken(failure.reason);
        break;
    }
  }

  private onStall(sending: Sending, kind: 'server' | 'answer'): void {
    if (this.isFinished || sending.isOver || !this.isRepeatable) return;
    if (!this.mayRunAgain()) return;
    const { backends } = this.tools;
    const { service, model } = this.request;
    if (backends.choose(service, model?.name, this.tried) === undefined) return;
    if (!backends.hasRepeat(service.name)) return;
    const why = kind === 'server' ? 'nothing moved there' : 'the answer stood still';
    if (this.stream) {
      sending.attempt.cancel();
      this.end(sending, why);
    } else {
      // A plain answer that is only slow may still come first.
      sending.watched.onStall = () => undefined;
      this.tools.watchdog.attempts.delete(sending.watched);
    }
    this.runs += 1;
    this.sendNext(why);
  }

  // --- what follows ---

  private mayRunAgain(): boolean {
    return this.runs + 1 < this.request.route.maxAttempts;
  }

  /** Nothing ran: any request may be sent elsewhere. */
  private afterRefusal(): void {
    this.refusals += 1;
    if (this.sendings.size > 0) return;
    if (this.refusals > MOST_REFUSALS) {
      this.giveUp('refused everywhere');
      return;
    }
    this.sendNext('not run');
  }

  /** It may have run: only what may run again is sent again. */
  private afterBroken(reason: string, isFinal = false): void {
    this.lastReason = reason;
    const mayRepeat = this.isRepeatable && !isFinal && this.mayRunAgain();
    this.runs += 1;
    if (this.sendings.size > 0) return;
    if (mayRepeat) {
      this.sendNext(reason);
      return;
    }
    this.giveUp(reason);
  }

  private giveUp(reason: string): void {
    const { reply, failedAnswer } = this;
    this.lastReason = reason;
    if (!reply.isUnsent) {
      this.cutStream(reason);
      return;
    }
    if (failedAnswer?.answer) {
      const { status, headers } = failedAnswer.answer;
      const { requests } = this.tools.context.platform;
      reply.sendWhole(status, requests.relayAnswer(headers), Buffer.concat(failedAnswer.body));
      this.finish('failedThere', reason);
      return;
    }
    if (this.runs > 0) this.failWith(createFailure('outcomeUnknown', { reason }), 'failed');
    else {
      const name = this.request.model?.name ?? this.request.service.name;
      this.failWith(createFailure('noCapacity', { name }, RETRY_AFTER_MS), 'refused', reason);
    }
  }

  /** The time is up. */
  private expire(): void {
    if (!this.reply.isUnsent) {
      this.cutStream('the time was up');
      return;
    }
    const mayHaveRun = this.runs > 0 || this.sendings.size > 0;
    const kind = mayHaveRun ? 'deadlineAfterStart' : 'deadlineBeforeStart';
    this.failWith(createFailure(kind), mayHaveRun ? 'failed' : 'refused', this.lastReason);
  }

  private cutStream(reason: string): void {
    this.finish('cut', reason);
    this.reply.cut();
  }

  private failWith(failure: Failure, outcome: RequestOutcome, reason = failure.message): void {
    this.tools.context.metrics.countError(failure.kind);
    this.reply.fail(failure, this.request.id);
    this.finish(outcome, reason);
  }

  private end(sending: Sending, how: string, kind = 'ended'): void {
    if (sending.isOver) return;
    sending.isOver = true;
    this.sendings.delete(sending);
    this.tools.watchdog.attempts.delete(sending.watched);
    this.tools.backends.ended(sending.watched.server);
    this.tools.context.metrics.attempts.inc({ outcome: kind });
    if (how !== 'answered') {
      this.log('attemptEnded', { server: sending.watched.server, how, kind });
    }
  }

  private finish(outcome: RequestOutcome, reason: string): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.tools.watchdog.requests.delete(this);
    for (const sending of [...this.sendings]) {
      sending.attempt.cancel();
      this.end(sending, outcome === 'answered' ? 'answered' : outcome);
    }
    const { clock, metrics } = this.tools.context;
    const now = clock.now();
    const { route, holder, arrivedAt } = this.request;
    metrics.requests.inc({ route: route.repeatability, outcome });
    const timings = metrics.timingsOf(holder?.workspace ?? '', route.repeatability);
    timings.whole(now - arrivedAt);
    if (this.firstByteAt !== undefined) timings.firstToken(this.firstByteAt - arrivedAt);
    this.log(outcome === 'answered' ? 'requestAnswered' : 'requestEnded', {
      outcome,
      reason,
      route: route.name,
      sends: this.sends,
      runs: this.runs,
      tookMs: Math.round(now - arrivedAt),
      firstMs: this.firstByteAt && Math.round(this.firstByteAt - arrivedAt),
      lastEventAgoMs: this.lastEventAt && Math.round(now - this.lastEventAt),
      lastEventId: this.stream?.lastEventId,
      waitedMs: Math.round(this.startedAt - arrivedAt),
    });
    this.onFinish();
  }

  private log(
    event: 'requestSent' | 'requestWaits' | 'requestAnswered' | 'requestEnded' | 'attemptEnded',
    values: Record<string, string | number | boolean | undefined>,
  ): void {
    this.tools.context.logger.log(event, { request: this.request.id, ...values });
  }
}

/**
 * Guards against an answer that is cut off and looks whole. One without a length may have been cut
 * with nothing to show it; it is passed on as it came, and its end is no more than the end of the
 * connection for the caller as well.
 */
function sendPlain(
  reply: Reply,
  { status, framing }: AttemptAnswer,
  headers: readonly string[],
  body: Buffer,
): void {
  if (framing !== 'connection') {
    reply.sendWhole(status, headers, body);
    return;
  }
  reply.begin(status, headers, true);
  reply.write(body);
  reply.end();
}

function isGood(answer: AttemptAnswer): boolean {
  const isSuccess = answer.status >= 200 && answer.status < 300;
  return isSuccess && answer.signed && !answer.encoded && !answer.notRun;
}

/** Callers' ranks go from 0; backend servers know 0 to 9. */
function clampPriority(priority: number): number {
  return Math.min(9, Math.max(0, Math.round(priority)));
}
