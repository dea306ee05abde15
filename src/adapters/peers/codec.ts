/**
 * The encoding of messages between entries: deflated JSON.
 *
 * Messages are short and share their key names, so both sides start from a dictionary of them;
 * without it a short message would hardly shrink.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { MAX_MESSAGE_BYTES } from '../../controllers/membership/index.js';

/**
 * Longest request once inflated. Anyone who reaches the listener can send one, and 64 KB can unfold
 * into 32 MB of empty arrays: the entry would stand still for seconds while it reads them, and
 * every answer under way with it. Digests shrink to about a fifth, so that no true one is
 * refused; inflating stops at the bound, before anything is parsed.
 */
const REQUEST_BYTES = 8 * MAX_MESSAGE_BYTES;
/** Longest answer once inflated: a page of configuration. */
const ANSWER_BYTES = 33_554_432;

/** Both sides need the same text. What is most frequent stands last. */
const DICTIONARY = Buffer.from(
  [
    '{"since":0,"revision":,"objects":[{"kind":"workspace","name":"","version":,"nonce":"",',
    '"deleted":false,"value":{"labels":{},"role":"engine","address":"","state":"live","region":"",',
    '"failureDomain":"","fabricDomain":""}},{"kind":"instance","name":"","more":false}',
    '"summaries":[{"failureDomain":"","ageMs":0,"entries":,"revision":,"behind":[],"drained":[]}',
    '"extensions":{"health":"","limits":""}',
    '"leaving":[{"instance":"","version":,"incarnation":""}],',
    '"demands":[{"workspace":"","requestsPerSecond":0,"tokensPerSecond":0,"concurrentRequests":0},',
    '"sent":[{"replica":"","requests":0,"promptTokens":0,"outputTokens":0},',
    '"draining":[{"target":"","count":0}],',
    '"content":{"peerAddress":"127.0.0.1:","region":"default","failureDomain":"","revision":,',
    '"ready":true,"stopping":false,"platform":"reached","platform":"unwatched","draining":[],',
    '"sent":[],"demands":[],"leaving":[],"extensions":{}}}],"summaries":[]}',
    '{"digests":[{"name":"entry-","incarnation":"","sequence":,"change":,"ageMs":0},{"name":"',
  ].join(''),
);

/** Requests and answers in the shape that tRPC asks of a transformer. */
export const codec = {
  input: createCodec(REQUEST_BYTES),
  output: createCodec(ANSWER_BYTES),
};

function createCodec(inflatedBytes: number) {
  const options = { dictionary: DICTIONARY, maxOutputLength: inflatedBytes };
  return {
    serialize: (value: unknown): string => {
      const text = JSON.stringify(value ?? null);
      return deflateRawSync(text, { dictionary: DICTIONARY }).toString('base64url');
    },
    deserialize: (text: unknown): unknown => {
      const bytes = Buffer.from(String(text), 'base64url');
      return JSON.parse(inflateRawSync(bytes, options).toString()) as unknown;
    },
  };
}
