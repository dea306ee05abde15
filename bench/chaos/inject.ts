/**
 * Does the faults of a schedule to a deployment, and undoes them.
 */
import type { Deployment, EntryProcess } from '../../features/promises/deployment.js';
import type { EngineProcess } from '../../features/promises/backends.js';
import { sendJson } from '../../features/promises/http.js';
import { MODEL } from '../../features/promises/deployment.js';
import type { CompletionFault } from '../../src/stand-ins/engine/index.js';
import type { Evidence } from './evidence.js';
import type { CallFaultKind, CompletionFaultKind, Fault } from './schedule.js';

type Undo = () => Promise<void>;

/** Injects faults into one deployment. */
export interface Injector {
  /** Does the fault now, unless its target has one already. */
  inject(fault: Fault): Promise<void>;
  /** Undoes everything that still lasts. */
  healAll(): Promise<void>;
  /** Entries that run, whether they can be reached or not. */
  listEntries(): readonly EntryProcess[];
}

interface InjectorState {
  deployment: Deployment;
  evidence: Evidence;
  /** What lasts, by its target; each is undone once. */
  lasting: Map<string, Undo>;
  undoing: Map<string, Promise<void>>;
  killedEntries: Set<string>;
  changes: number;
}

const FAULT_AT_TOKEN = 5;
const NO_FAULT = 'none';

/** An injector that has done nothing yet. */
export function createInjector(deployment: Deployment, evidence: Evidence): Injector {
  const state: InjectorState = {
    deployment,
    evidence,
    lasting: new Map(),
    undoing: new Map(),
    killedEntries: new Set(),
    changes: 0,
  };
  return {
    inject: (fault) => inject(state, fault),
    healAll: async () => {
      for (const target of [...state.lasting.keys()]) undo(state, target);
      await Promise.all(state.undoing.values());
    },
    listEntries: () => listEntries(state),
  };
}

function listEntries({ deployment, killedEntries }: InjectorState): readonly EntryProcess[] {
  return [...deployment.entries.values()].filter(({ name }) => !killedEntries.has(name));
}

async function inject(state: InjectorState, fault: Fault): Promise<void> {
  const { deployment } = state;
  switch (fault.kind) {
    case 'killEngine':
      return last(state, pickEngine(state, fault.target).name, fault.forMs, (name) =>
        killEngine(state, name),
      );
    case 'freezeEngine':
      return last(state, pickEngine(state, fault.target).name, fault.forMs, (name) =>
        freezeEngine(state, name),
      );
    case 'cutEngine':
      return last(state, pickEngine(state, fault.target).name, fault.forMs, async (name) => {
        const engine = deployment.engine(name);
        await engine.link({ cut: fault.way });
        return () => engine.link({ cut: NO_FAULT });
      });
    case 'cutDomain':
      return cutDomain(state, fault.target, fault.forMs);
    case 'drainEngine':
      return last(state, pickEngine(state, fault.target).name, fault.forMs, (name) =>
        drainEngine(state, name),
      );
    case 'spoilCompletion': {
      const faults = [createCompletionFault(fault.fault)];
      return spoil(pickEngine(state, fault.target), (engine) => engine.control({ faults }));
    }
    case 'killEntry':
      if (listEntries(state).length < 2) return;
      return last(state, pickEntry(state, fault.target).name, fault.forMs, (name) =>
        killEntry(state, name),
      );
    case 'freezeEntry':
      return last(state, pickEntry(state, fault.target).name, fault.forMs, (name) =>
        freezeEntry(state, name),
      );
    case 'cutEntry':
      return last(state, pickEntry(state, fault.target).name, fault.forMs, async (name) => {
        const link = findEntry(state, name).platformLink;
        (await link.control({ cut: fault.way }))._unsafeUnwrap();
        return async () => {
          (await link.control({ cut: NO_FAULT }))._unsafeUnwrap();
        };
      });
    case 'outage':
      return last(state, 'platform', fault.forMs, async () => {
        await deployment.platform.control({ outage: fault.mode });
        return () => deployment.platform.control({ outage: NO_FAULT });
      });
    case 'loseAnswers':
      return deployment.platform.control({ loseAnswersAfterEffect: fault.count });
    case 'oldCopy':
      return last(state, 'copy', fault.forMs, async () => {
        await deployment.platform.control({ oldCopy: true });
        return () => deployment.platform.control({ oldCopy: false });
      });
    case 'raceOperators':
      return raceOperators(state, fault.target);
    case 'spoilCall': {
      const services = [...deployment.services.values()];
      const service = services[fault.target % services.length];
      const faults = [createCallFault(fault.fault)];
      return service === undefined ? undefined : service.control({ faults });
    }
  }
}

/** Does something that lasts `forMs` to `target`, which must be free of faults. */
async function last(
  state: InjectorState,
  target: string,
  forMs: number,
  begin: (target: string) => Promise<Undo>,
): Promise<void> {
  if (state.lasting.has(target)) return;
  // Taken before the fault is in place, so that a second one can't begin meanwhile.
  const begun = begin(target);
  state.lasting.set(target, async () => (await begun)());
  await begun;
  setTimeout(() => {
    undo(state, target);
  }, forMs);
}

/** The target is free for another fault only when this one is wholly undone. */
function undo(state: InjectorState, target: string): void {
  const undoing = state.lasting.get(target);
  if (undoing === undefined || state.undoing.has(target)) return;
  const done = undoing().finally(() => {
    state.lasting.delete(target);
    state.undoing.delete(target);
  });
  state.undoing.set(target, done);
}

function pickEngine({ deployment }: InjectorState, target: number): EngineProcess {
  const engines = [...deployment.engines.values()];
  const engine = engines[target % engines.length];
  if (engine === undefined) throw new Error('there is no engine');
  return engine;
}

function pickEntry(state: InjectorState, target: number): EntryProcess {
  const entries = listEntries(state);
  const entry = entries[target % entries.length];
  if (entry === undefined) throw new Error('there is no entry');
  return entry;
}

function findEntry({ deployment }: InjectorState, name: string): EntryProcess {
  const entry = deployment.entries.get(name);
  if (entry === undefined) throw new Error(`there is no ${name}`);
  return entry;
}

/** Its journal dies with it, so that nothing may reach it any more when the journal is read. */
async function killEngine({ deployment, evidence }: InjectorState, name: string): Promise<Undo> {
  const engine = deployment.engine(name);
  await engine.link({ refuse: true, cut: 'both', resetAll: true });
  const from = Date.now();
  const journal = await engine.journal();
  evidence.engineJournals.set(journal.incarnation, journal);
  await engine.process.kill();
  const { incarnation } = journal;
  evidence.dead.push({ instance: name, incarnation, from, until: Number.POSITIVE_INFINITY });
  return async () => {
    const again = await deployment.restartEngine(name);
    await again.link({ refuse: false, cut: NO_FAULT });
  };
}

async function freezeEngine({ deployment, evidence }: InjectorState, name: string): Promise<Undo> {
  const engine = deployment.engine(name);
  const { incarnation } = await engine.journal();
  engine.process.signal('SIGSTOP');
  const from = Date.now();
  const span = { instance: name, incarnation, from, until: Number.POSITIVE_INFINITY };
  evidence.dead.push(span);
  return () => {
    span.until = Date.now();
    engine.process.signal('SIGCONT');
    return Promise.resolve();
  };
}

async function cutDomain(state: InjectorState, target: number, forMs: number): Promise<void> {
  const { deployment } = state;
  const domains = Object.keys(deployment.plan.engines);
  const domain = domains[target % domains.length] ?? '';
  const names = [...deployment.engines.keys()].filter((name) => name.startsWith(`${domain}-`));
  await Promise.all(
    names.map((each) =>
      last(state, each, forMs, async (name) => {
        const engine = deployment.engine(name);
        await engine.link({ cut: 'both' });
        return () => engine.link({ cut: NO_FAULT });
      }),
    ),
  );
}

async function drainEngine({ deployment }: InjectorState, name: string): Promise<Undo> {
  const { platform } = deployment;
  const listed = await platform.read('instance', name);
  if (listed === undefined) return () => Promise.resolve();
  await platform.put('instance', name, { ...(listed.value as object), state: 'leaving' });
  return async () => {
    await platform.put('instance', name, { ...(listed.value as object), state: 'live' });
  };
}

async function spoil(
  engine: EngineProcess,
  change: (engine: EngineProcess) => Promise<void>,
): Promise<void> {
  // One that is dead or frozen at the moment has no need of a further fault.
  await change(engine).catch(() => undefined);
}

async function killEntry(state: InjectorState, name: string): Promise<Undo> {
  const { deployment, killedEntries } = state;
  killedEntries.add(name);
  await findEntry(state, name).process.kill();
  return async () => {
    await deployment.platform.remove('instance', name);
    await deployment.startEntry();
  };
}

function freezeEntry(state: InjectorState, name: string): Promise<Undo> {
  const { process } = findEntry(state, name);
  process.signal('SIGSTOP');
  const wake = (): Promise<void> => {
    process.signal('SIGCONT');
    return Promise.resolve();
  };
  return Promise.resolve(wake);
}

/** Two operators change the model through two entries, both from the version that is stored now. */
async function raceOperators(state: InjectorState, target: number): Promise<void> {
  const { deployment, evidence } = state;
  const current = await deployment.platform.read('model', MODEL);
  const expected = current?.version ?? 0;
  const entries = [pickEntry(state, target), pickEntry(state, target + 1)];
  state.changes += 1;
  const statuses = await Promise.all(
    entries.map(async ({ operators }, index) => {
      const labels = { change: `${state.changes}-${index}` };
      const path = `/labels/model/${MODEL}`;
      const answer = await sendJson(operators, 'PATCH', path, { labels, expected }).catch(
        () => undefined,
      );
      return answer?.status ?? 0;
    }),
  );
  evidence.races.push({ expected, statuses });
}

function createCompletionFault(kind: CompletionFaultKind): CompletionFault {
  switch (kind) {
    case 'cutAfter':
    case 'hang':
      return { kind, after: FAULT_AT_TOKEN };
    case 'duplicate':
    case 'gap':
    case 'foreignChunk':
    case 'garbage':
      return { kind, at: FAULT_AT_TOKEN };
    case 'dieBeforeEnd':
    case 'noEnd':
    case 'wrongAttempt':
    case 'afterEnd':
    case 'resetBeforeAnswer':
      return { kind };
  }
}

function createCallFault(kind: CallFaultKind): { kind: CallFaultKind } {
  return { kind };
}
