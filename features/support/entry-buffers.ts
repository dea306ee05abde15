/**
 * What the buffers of an entry take for one caller that reads nothing, by the entry's design. Load
 * of the machine moves none of these figures.
 */

/** Node reads a socket in parts of at most 64 KiB; undici's body asks for no more at as many bytes. */
const PART_BYTES = 65_536;
/** A body just below its mark takes one more part. */
const BODY_BYTES = 2 * PART_BYTES;
/** An event for a caller is at most three times as long as the engine's event it is made of. */
const EVENT_GROWTH = 3;

/** From here on an answer's own buffer has no room: the mark that Node's streams have in common. */
export const BLOCKED_BYTES = 16_384;

/**
 * In bytes. A download: the body, and what was written while there was room, a part beside a started
 * one. A stream: the body, the content of a body that is being passed on, and the same again as
 * events for the caller.
 */
export const BUFFERS = {
  downloads: BODY_BYTES + 2 * PART_BYTES,
  streams: BODY_BYTES + BODY_BYTES + EVENT_GROWTH * BODY_BYTES,
} as const;
