/**
 * Large values on the way between gateways. They are repetitive text, and a small instance may send the same one to
 * all members of its failure domain at once.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';

/** Above what the store holds in one object. */
const MAX_BYTES = 8_388_608;
/** Most of the repetition is found at the fastest level. */
const LEVEL = 1;

const packedValues = new WeakMap<object, string>();

/** Compresses a value; repeated calls for the same one share the result. */
export function packValue(value: object): string {
  const known = packedValues.get(value);
  if (known !== undefined) return known;
  const packed = deflateRawSync(JSON.stringify(value), { level: LEVEL }).toString('base64');
  packedValues.set(value, packed);
  return packed;
}

/** Throws if `packed` was not made by {@link packValue}, or if what is in it is too long. */
export function unpackValue(packed: string): unknown {
  const text = inflateRawSync(Buffer.from(packed, 'base64'), { maxOutputLength: MAX_BYTES });
  return JSON.parse(text.toString()) as unknown;
}
