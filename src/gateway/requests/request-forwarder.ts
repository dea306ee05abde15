/**
 * The life of one admitted request: sendings, repeats, and exactly one final answer.
 *
 * A request that may run once is sent again only when the backend server has said that it did not
 * run it, or when no byte of it can have arrived. Everything else may be sent to another backend
 * server within the route's attempts and the budget of repeats.
 */
import { EventStream, isRepeatable } from '../../controllers/forwarding/index.js';
import type { Milliseconds } from '../../core/clock/index.js';
import { createFailure, type Failure } from '../../core/errors/index.js';
import type { AttemptAnswer, AttemptFailure, AttemptSender } from '../backends/attempt.js';
import type { GatewayContext } from '../types.js';
import { isGood, relayEvents, sendPlain } from './response-relay.js';
import type { Backends, ChosenTarget } from './backends.js';
import type { Reply } from './reply.js';
import type { Quarantine } from './quarantine.js';
import { RequestWait } from './request-wait.js';
import { reportEnd, reportSent } from './request-report.js';
import { Sending, type SendingOwner } from './tracked-attempt.js';
import { limitsBeforeAnswer, limitsWithinAnswer } from './stall-limits.js';
import { refuseStopped, STOPPED, type Stopping } from './shutdown.js';
import type { AdmittedRequest, RequestOutcome } from './types.js';
import type { WaitingLines } from './request-queues.js';
import type { Watchdog, WatchedRequest } from './watchdog.js';

/** What a run needs beside its request. */
export interface RunTools {
  context: GatewayContext;
  backends: Backends;
  watchdog: Watchdog;
  send: AttemptSender;
  stopping: Stopping;
  lines: WaitingLines;
  quarantine: Quarantine;
}

/** Sendings that backend servers refused unrun, beyond which a request is given up. */
const MOST_REFUSALS = 4;
/** A replica that is being formed opens within about this time. */
const RETRY_AFTER_MS: Milliseconds = 700;
/** Of the time left, what a backend server is not given: the way back takes some of it. */
const DEADLINE_MARGIN_MS: Milliseconds = 5;
/** Less time than this is not worth a sending. */
const LEAST_DEADLINE_MS: Milliseconds = 20;

/** Drives one request. */
export class RequestRun implements WatchedRequest, SendingOwner {
  private readonly sendings = new Set<Sending>();
  private readonly tried = new Set<string>();
  private readonly stream: EventStream | undefined;
  private readonly startedAt: Milliseconds;
  /** Sendings that may have run. */
  private runs = 0;
  private refusals = 0;
  private sends = 0;
  private isFinished = false;
  private readonly wait: RequestWait;
  private firstByteAt: Milliseconds | undefined;
  private lastEventAt: Milliseconds | undefined;
  /** A backend server's own failure, passed on when nothing better comes. */
  private failedSending: Sending | undefined;
  private lastReason = '';

  constructor(
    private readonly request: AdmittedRequest,
    private readonly reply: Reply,
    private readonly tools: RunTools,
    private readonly onFinish: () => void,
  ) {
    this.startedAt = tools.context.clock.now();
    this.wait = new RequestWait(request, tools.lines);
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
    if (this.isQuarantined && !this.isAnswering) {
      this.endQuarantined();
      return;
    }
    if (this.sendings.size === 0 && this.wait.mayTry(now)) this.sendNext('waited');
    this.endWait(now);
  }

  /**
   * A stream that may be resumed is let run until this moment. Ended sooner it would be broken off
   * for certain, while most streams still end by themselves; and its caller, who goes on elsewhere
   * after the last whole event that it has, needs the same new way at either time.
   */
  onGraceOver(): void {
    if (this.isFinished) return;
    if (!this.reply.isUnsent) this.cutStream(STOPPED);
    else if (this.mayHaveRun) {
      this.failWith(createFailure('outcomeUnknown', { reason: STOPPED }), 'failed', STOPPED);
    } else this.failWith(refuseStopped(), 'refused', STOPPED);
  }

  private endWait(now: Milliseconds): void {
    if (this.isFinished || this.sendings.size > 0) return;
    if (this.wait.isOver(now)) this.giveUp('no target in time');
  }

  private get isQuarantined(): boolean {
    return this.tools.quarantine.leftMs(this.request.fingerprint) !== undefined;
  }

  /** A backend server has begun to answer: it is not about to end under this request. */
  private get isAnswering(): boolean {
    return [...this.sendings].some(({ answer }) => answer !== undefined);
  }

  private get isRepeatable(): boolean {
    return isRepeatable(this.request.route);
  }

  /** A backend server may have worked on it, or still does. */
  private get mayHaveRun(): boolean {
    return this.runs > 0 || this.sendings.size > 0;
  }

  /**
   * What a backend server may be given. No longer than a stop leaves: it ends its work then by itself
   * and says so, instead of being cut off in the middle.
   */
  private get sendableMs(): Milliseconds {
    const { context, stopping } = this.tools;
    const until = Math.min(this.request.answerBy, stopping.lastAnswerAt());
    return until - context.clock.now() - DEADLINE_MARGIN_MS;
  }

  // --- sending ---

  private sendNext(why: string): void {
    const { request, tools } = this;
    const { service } = request;
    if (this.isQuarantined) {
      if (this.sendings.size === 0) this.endQuarantined();
      return;
    }
    if (!this.mayHaveRun && !tools.stopping.mayBegin(request, tools.context.clock.now())) {
      this.failWith(refuseStopped(), 'refused', STOPPED);
      return;
    }
    if (this.sendableMs < LEAST_DEADLINE_MS) {
      const isCutShort = tools.stopping.lastAnswerAt() < request.answerBy;
      const reason = isCutShort ? STOPPED : 'too little time is left';
      if (this.sendings.size === 0) this.giveUp(reason);
      return;
    }
    const chosen = this.pickTarget();
    if (chosen === 'noRoom') {
      this.joinLine(why);
      return;
    }
    if (chosen === undefined) {
      this.waitForTarget(why);
      return;
    }
    if (this.sends > 0 && !tools.backends.takeRepeat(service.name)) {
      if (this.sendings.size === 0) this.giveUp('no repeats left');
      return;
    }
    this.wait.endForTarget();
    this.sendTo(chosen, why);
  }

  /**
   * Only the first sending to a model's replica waits for room. What goes on after a stall has used up
   * its time already, and where there is no replica at all a place in line would not help.
   */
  private pickTarget(): ChosenTarget | 'noRoom' | undefined {
    const { request, tools, tried } = this;
    const { service, model } = request;
    const { backends, lines } = tools;
    if (this.sends > 0 || model === undefined) return backends.choose(service, model?.name, tried);
    const isBehind = !this.wait.isInLine && lines.hasLine(request);
    const withRoom = isBehind ? undefined : backends.choose(service, model.name, tried, true);
    if (withRoom) return withRoom;
    return backends.choose(service, model.name, tried) ? 'noRoom' : undefined;
  }

  private joinLine(why: string): void {
    if (this.wait.isInLine) return;
    this.logWait('no room');
    this.wait.joinLine({
      trySend: () => this.trySend(why),
      refuse: () => {
        this.wait.leaveLine();
        this.giveUp('no room in time');
      },
    });
  }

  /** Its turn in the line. */
  private trySend(why: string): boolean {
    if (this.pickTarget() === 'noRoom') return false;
    this.sendNext(why);
    this.wait.leaveLine();
    return true;
  }

  private waitForTarget(why: string): void {
    if (this.sendings.size > 0) return;
    const now = this.tools.context.clock.now();
    if (this.wait.beginForTarget(now)) this.logWait(why);
    if (this.tried.size > 0) this.wait.pause(now);
    if (this.isRepeatable) this.tried.clear();
  }

  private logWait(why: string): void {
    const { service, model } = this.request;
    const targets = this.tools.backends.count(service, model?.name);
    this.log('requestWaits', { why, targets, tried: this.tried.size });
  }

  private sendTo(chosen: ChosenTarget, why: string): void {
    const { request, tools, stream } = this;
    const { server } = chosen.target;
    this.tried.add(server.id);
    this.sends += 1;
    const leftMs = this.sendableMs;
    const lastEventId = stream ? stream.lastEventId : request.caller.lastEventId;
    reportSent(tools.context, request, chosen, {
      why,
      attempt: this.sends,
      leftMs,
      lastEventId,
    });
    tools.backends.sent(server.id);
    tools.lines.recordSent(request);
    stream?.startRun();
    const limits = limitsBeforeAnswer(request, chosen, tools.lines.usualFirstMs(request));
    const sending = new Sending(server, limits, this, tools.context.clock);
    this.sendings.add(sending);
    tools.watchdog.attempts.add(sending);
    sending.start(tools.send, {
      to: { id: server.id, address: server.address },
      method: request.incoming.method ?? 'GET',
      path: request.incoming.url ?? '/',
      headers: tools.context.platform.requests.encodeRequest(request.incoming.rawHeaders, {
        server: server.id,
        deadlineMs: leftMs,
        priority: clampPriority(request.holder?.priority ?? request.route.priority),
        ...(request.holder && { workspace: request.holder.workspace }),
        ...(lastEventId !== undefined && { lastEventId }),
      }),
      body: request.body,
      requestId: request.caller.id,
      fresh: !this.isRepeatable,
    });
  }

  // --- what comes back ---

  onAnswer({ server }: Sending, { notRun }: AttemptAnswer): void {
    if (!notRun) this.tools.backends.progressed(server);
  }

  onData(sending: Sending, answer: AttemptAnswer, chunk: Buffer): void {
    if (this.stream && isGood(answer)) {
      this.tools.backends.progressed(sending.server);
      this.takeEvents(sending, answer, this.stream, chunk);
    } else {
      sending.body.push(chunk);
    }
  }

  private takeEvents(
    sending: Sending,
    answer: AttemptAnswer,
    stream: EventStream,
    chunk: Buffer,
  ): void {
    const part = stream.push(chunk);
    if (part.kind === 'gap') {
      this.end(sending, 'events are missing');
      sending.cancel();
      this.afterBroken('events are missing in the answer');
      return;
    }
    if (part.count === 0) return;
    const { clock, platform } = this.tools.context;
    const limits = limitsWithinAnswer(this.request);
    if (limits) sending.tighten(limits);
    this.lastEventAt = clock.now();
    if (this.firstByteAt === undefined) {
      this.firstByteAt = this.lastEventAt;
      this.tools.lines.recordFirstEvent(this.request, this.firstByteAt - sending.sentAt);
    }
    relayEvents(this.reply, platform.requests, sending, answer, part.bytes);
  }

  onEnd(sending: Sending, answer: AttemptAnswer): void {
    const { backends } = this.tools;
    const { server } = sending;
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
    this.failedSending = sending;
    this.afterBroken(`the backend server answered ${answer.status}`, answer.status < 500);
  }

  private complete(sending: Sending, answer: AttemptAnswer): void {
    const { stream, reply } = this;
    const { requests } = this.tools.context.platform;
    if (stream?.isMidEvent) {
      this.afterBroken('the answer ended within an event');
      return;
    }
    this.tools.quarantine.recordAnswered(this.request.fingerprint);
    if (stream) {
      relayEvents(reply, requests, sending, answer, NOTHING);
      reply.end();
    } else {
      sendPlain(reply, requests, answer, Buffer.concat(sending.body));
    }
    this.finish('answered', `${answer.status} by ${answer.framing}`);
  }

  onFailure(sending: Sending, failure: AttemptFailure): void {
    const { backends, quarantine } = this.tools;
    this.end(sending, failure.reason, failure.kind);
    switch (failure.kind) {
      case 'notSent':
        backends.suspect(sending.server, failure.reason);
        this.afterRefusal();
        break;
      case 'broken':
        backends.answered(sending.server, true);
        quarantine.recordBroken(this.request.fingerprint, sending.target);
        this.afterBroken(failure.reason);
        break;
    }
  }

  onStall(sending: Sending, kind: 'server' | 'answer'): void {
    if (!this.isRepeatable || !this.mayRunAgain()) return;
    const { backends, watchdog } = this.tools;
    const { service, model } = this.request;
    if (backends.choose(service, model?.name, this.tried) === undefined) return;
    if (!backends.hasRepeat(service.name)) return;
    const why = kind === 'server' ? 'nothing moved there' : 'the answer stood still';
    if (this.stream) {
      sending.cancel();
      this.end(sending, why);
    } else {
      // A plain answer that is only slow may still come first; it has had its one stall.
      watchdog.attempts.delete(sending);
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
    const { reply, failedSending } = this;
    this.lastReason = reason;
    if (!reply.isUnsent) {
      this.cutStream(reason);
      return;
    }
    if (failedSending?.answer) {
      const { requests } = this.tools.context.platform;
      sendPlain(reply, requests, failedSending.answer, Buffer.concat(failedSending.body));
      this.finish('failedThere', reason);
      return;
    }
    if (this.mayHaveRun) this.failWith(createFailure('outcomeUnknown', { reason }), 'failed');
    else {
      const name = this.request.model?.name ?? this.request.service.name;
      this.failWith(createFailure('noCapacity', { name }, RETRY_AFTER_MS), 'refused', reason);
    }
  }

  /** Servers end under it: those that have it are spared, where they haven't begun to answer. */
  private endQuarantined(): void {
    if (this.mayHaveRun || !this.reply.isUnsent) {
      this.giveUp('backend servers end under it');
      return;
    }
    const leftMs = this.tools.quarantine.leftMs(this.request.fingerprint);
    this.failWith(createFailure('quarantined', undefined, leftMs), 'refused');
  }

  /** The time is up. */
  private expire(): void {
    if (!this.reply.isUnsent) {
      this.cutStream('the time was up');
      return;
    }
    const { mayHaveRun } = this;
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
    this.tools.watchdog.attempts.delete(sending);
    this.tools.backends.ended(sending.server);
    this.tools.lines.serveSoon();
    this.tools.context.metrics.attempts.inc({ outcome: kind });
    if (how !== 'answered')
      this.log('attemptEnded', {
        server: sending.server,
        fingerprint: this.request.fingerprint,
        how,
        kind,
      });
  }

  private finish(outcome: RequestOutcome, reason: string): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.wait.leaveLine();
    this.tools.watchdog.requests.delete(this);
    for (const sending of [...this.sendings]) {
      sending.cancel();
      this.end(sending, outcome === 'answered' ? 'answered' : outcome);
    }
    const { context, stopping } = this.tools;
    if (this.sends > 0) stopping.recordEnd(this.request, context.clock.now() - this.startedAt);
    reportEnd(context, this.request, {
      outcome,
      reason,
      sends: this.sends,
      runs: this.runs,
      startedAt: this.startedAt,
      firstByteAt: this.firstByteAt,
      lastEventAt: this.lastEventAt,
      lastEventId: this.stream?.lastEventId,
    });
    this.onFinish();
  }

  private log(
    event: 'requestWaits' | 'attemptEnded',
    values: Record<string, string | number | boolean | undefined>,
  ): void {
    this.tools.context.logger.log(event, { request: this.request.id, ...values });
  }
}

const NOTHING = Buffer.alloc(0);

/** Callers' ranks go from 0; backend servers know 0 to 9. */
function clampPriority(priority: number): number {
  return Math.min(9, Math.max(0, Math.round(priority)));
}
