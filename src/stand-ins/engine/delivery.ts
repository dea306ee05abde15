/**
 * What is written for each token and for the end of an answer, with the fault that the test chose.
 */
import type { EngineChunk } from '../../adapters/engines/index.js';
import type { CompletionFault } from './control.js';

/** The stream that is written to. */
interface DeliveredStream {
  attempt: string;
  resumeFrom: number;
  fault: CompletionFault | undefined;
}

/** `close` ends the body in good order, `cut` breaks the connection. */
export type Delivery =
  | { kind: 'write'; data: string }
  | { kind: 'writeAndClose'; data: string }
  | { kind: 'close' }
  | { kind: 'cut' }
  | { kind: 'nothing' };

type EndChunk = Extract<EngineChunk, { kind: 'end' }>;

const FOREIGN_ATTEMPT = 'of-another-caller';
const FOREIGN_TEXT = 'FOREIGN ';
const GARBAGE_EVENT = 'data: {"kind":"tok\n\n';

/** Writes the token with this offset from `resumeFrom`. */
export function deliverToken(stream: DeliveredStream, offset: number, text: string): Delivery {
  const { fault } = stream;
  const data = writeToken(stream, offset, text);
  switch (fault?.kind) {
    case 'cutAfter':
      return offset >= fault.after ? { kind: 'cut' } : { kind: 'write', data };
    case 'hang':
      return offset >= fault.after ? { kind: 'nothing' } : { kind: 'write', data };
    case 'duplicate':
      return { kind: 'write', data: offset === fault.at ? data + data : data };
    case 'gap':
      return offset === fault.at ? { kind: 'nothing' } : { kind: 'write', data };
    case 'foreignChunk':
      return {
        kind: 'write',
        data: offset === fault.at ? foreignToken(stream, offset) + data : data,
      };
    case 'garbage':
      return { kind: 'write', data: offset === fault.at ? GARBAGE_EVENT + data : data };
    case 'hugeLine':
      return { kind: 'write', data: offset === fault.at ? hugeLine(fault.bytes) + data : data };
    case 'wrongAttempt':
    case 'dieBeforeEnd':
    case 'noEnd':
    case 'afterEnd':
    case 'neverAnswer':
    case 'resetBeforeAnswer':
    case undefined:
      return { kind: 'write', data };
  }
}

/** Writes the end mark. */
export function deliverEnd(stream: DeliveredStream, end: EndChunk): Delivery {
  const { fault } = stream;
  switch (fault?.kind) {
    case 'dieBeforeEnd':
      return { kind: 'cut' };
    case 'noEnd':
      return { kind: 'close' };
    case 'hang':
      return { kind: 'nothing' };
    case 'wrongAttempt':
      return { kind: 'writeAndClose', data: writeChunk({ ...end, attempt: FOREIGN_ATTEMPT }) };
    case 'afterEnd': {
      const late = writeToken(stream, end.sequence - stream.resumeFrom, 'LATE ');
      return { kind: 'writeAndClose', data: writeChunk(end) + late };
    }
    default:
      return { kind: 'writeAndClose', data: writeChunk(end) };
  }
}

function writeToken(stream: DeliveredStream, offset: number, text: string): string {
  const attempt = stream.fault?.kind === 'wrongAttempt' ? FOREIGN_ATTEMPT : stream.attempt;
  return writeChunk({ kind: 'token', attempt, sequence: stream.resumeFrom + offset, text });
}

function foreignToken(stream: DeliveredStream, offset: number): string {
  const sequence = stream.resumeFrom + offset;
  return writeChunk({ kind: 'token', attempt: FOREIGN_ATTEMPT, sequence, text: FOREIGN_TEXT });
}

function hugeLine(bytes: number): string {
  return `data: ${'x'.repeat(bytes)}\n\n`;
}

function writeChunk(chunk: EngineChunk): string {
  return `data: ${JSON.stringify(chunk)}\n\n`;
}
