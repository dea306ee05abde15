/**
 * Finding out that the store is out of reach where nothing else asks it.
 */
import type { Milliseconds } from '../../core/clock/index.js';
import type { GatewayContext, GatewayPart } from '../types.js';
import type { ObjectStore } from './client.js';
import type { ContactKeeper } from './contact.js';

/**
 * Without an answer for this long the store is asked. With the timeout of the call a gateway that is cut off
 * knows it after 5.5 s; a watch of its own would show it after 8.8 s.
 */
const QUIET_MS: Milliseconds = 4_000;
/** Small against {@link QUIET_MS}. */
const LOOK_EVERY_MS: Milliseconds = 500;

interface ContactCheckOptions {
  context: GatewayContext;
  store: ObjectStore;
  contact: ContactKeeper;
  /** A small object to ask for; it need not exist. */
  kind: string;
}

/**
 * Guards against a gateway that is cut off from the store and goes on planning replicas: while another
 * one follows the store for it, nothing else would show it, and no other gateway would take over.
 */
export function createContactCheck({
  context,
  store,
  contact,
  kind,
}: ContactCheckOptions): GatewayPart {
  const { board, clock, settings } = context;
  let timer: NodeJS.Timeout | undefined;
  let isAsking = false;

  const look = async (): Promise<void> => {
    const isQuiet = clock.now() - contact.answeredAt() > QUIET_MS;
    if (!isQuiet || isAsking || !board.storeContact.read().reachable) return;
    isAsking = true;
    // Its outcome, like that of every call, goes to the contact.
    await store.check(kind, settings.name);
    isAsking = false;
  };
  return {
    start: () => {
      timer = setInterval(() => void look(), LOOK_EVERY_MS);
    },
    stop: () => {
      clearInterval(timer);
    },
  };
}
