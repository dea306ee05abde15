/**
 * A model engine as far as routing meets it: a batch of bounded size, prefill one prompt after the
 * other, decoding side by side, a prefix cache of bounded size, and load reports that lag.
 */
import type { EngineLoad } from '../../src/adapters/engines/protocol.js';
import type { RequestClass } from '../../src/objects/index.js';
import type { Timeline } from './timeline.js';

export interface EngineRequest {
  ticket: string;
  class: RequestClass;
  isCrowding: boolean;
  promptTokens: number;
  outputTokens: number;
  maxTokens: number;
  prefixes: readonly { hash: string; tokens: number }[];
  onFirstToken: () => void;
  onEnd: () => void;
}

export interface EngineShape {
  batchSize: number;
  prefillMsPerToken: number;
  decodeMsPerToken: number;
  cacheBlocks: number;
}

/** What the engine publishes of its load at one instant. */
export interface Snapshot {
  at: number;
  load: EngineLoad;
}

const PRIORITY: Record<RequestClass, number> = {
  gate: 0,
  interactive: 1,
  batch: 2,
};

export class Engine {
  /** Above 1 for an engine that turned slow and does not know it. */
  slowness = 1;
  readonly snapshots: Snapshot[] = [];
  prefilledTokens = 0;
  private readonly waiting: EngineRequest[] = [];
  private readonly prefillQueue: EngineRequest[] = [];
  private running = 0;
  private prefilling = false;
  private pendingPromptTokens = 0;
  private pendingOutputTokens = 0;
  /** Hashes of cached blocks, least recently used first. */
  private readonly cache = new Set<string>();

  constructor(
    private readonly timeline: Timeline,
    private readonly shape: EngineShape,
  ) {}

  accept(request: EngineRequest): void {
    this.pendingPromptTokens += request.promptTokens;
    this.pendingOutputTokens += request.maxTokens;
    insert(this.waiting, request);
    this.admit();
  }

  /** Publishes the load; readers see it later. */
  report(): void {
    const load: EngineLoad = {
      running: this.running,
      waiting: this.waiting.length,
      pendingPromptTokens: this.pendingPromptTokens,
      pendingOutputTokens: this.pendingOutputTokens,
      batchSize: this.shape.batchSize,
      prefillMsPerToken: this.shape.prefillMsPerToken,
      decodeMsPerToken: this.shape.decodeMsPerToken,
      cacheUse: Math.min(1, this.cache.size / this.shape.cacheBlocks),
      ageMs: 0,
    };
    this.snapshots.push({ at: this.timeline.now, load });
    if (this.snapshots.length > 32) this.snapshots.shift();
  }

  private admit(): void {
    while (this.running < this.shape.batchSize && this.waiting.length > 0) {
      const request = this.waiting.shift();
      if (!request) return;
      this.running += 1;
      insert(this.prefillQueue, request);
    }
    this.prefillNext();
  }

  private prefillNext(): void {
    if (this.prefilling) return;
    const request = this.prefillQueue.shift();
    if (!request) return;
    this.prefilling = true;
    const tokens = Math.max(1, request.promptTokens - this.cachedTokens(request));
    this.prefilledTokens += tokens;
    const span = tokens * this.shape.prefillMsPerToken * this.slowness;
    this.timeline.after(span, () => {
      this.finishPrefill(request);
    });
  }

  private finishPrefill(request: EngineRequest): void {
    this.prefilling = false;
    this.pendingPromptTokens -= request.promptTokens;
    this.store(request);
    request.onFirstToken();
    const span = request.outputTokens * this.shape.decodeMsPerToken * this.slowness;
    this.timeline.after(span, () => {
      this.finish(request);
    });
    this.prefillNext();
  }

  private finish(request: EngineRequest): void {
    this.running -= 1;
    this.pendingOutputTokens -= request.maxTokens;
    request.onEnd();
    this.admit();
  }

  private cachedTokens(request: EngineRequest): number {
    let tokens = 0;
    for (const prefix of request.prefixes) {
      if (!this.cache.has(prefix.hash)) break;
      tokens = prefix.tokens;
    }
    return tokens;
  }

  private store(request: EngineRequest): void {
    for (const { hash } of [...request.prefixes].reverse()) {
      this.cache.delete(hash);
      this.cache.add(hash);
    }
    for (const hash of this.cache) {
      if (this.cache.size <= this.shape.cacheBlocks) break;
      this.cache.delete(hash);
    }
  }
}

/** First come first served within a class, higher classes first, as the engines honour priorities. */
function insert(queue: EngineRequest[], request: EngineRequest): void {
  let index = queue.length;
  const rank = rankOf(request);
  while (index > 0) {
    const before = queue[index - 1];
    if (!before || rankOf(before) <= rank) break;
    index -= 1;
  }
  queue.splice(index, 0, request);
}

function rankOf(request: EngineRequest): number {
  return PRIORITY[request.class] + (request.isCrowding ? 0.5 : 0);
}
