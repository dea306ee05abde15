/**
 * Catalogue of all error kinds with their HTTP status and their messages.
 */

/**
 * What a caller may conclude about a request that ended in an error:
 *
 * - `notRun`: no byte of it can have reached a backend server.
 * - `unknown`: it may have run.
 * - `failed`: it ran and failed.
 * - `refused`: it was not run, and an unchanged retry will not succeed.
 */
export type Conclusion = 'notRun' | 'unknown' | 'failed' | 'refused';

interface ErrorDefinition<Values> {
  title: string;
  /** HTTP status of the response. */
  status: number;
  conclusion: Conclusion;
  message: (values: Values) => string;
  /** Suggested next step for the recipient. */
  hint: string;
}

function defineError<Values>(definition: ErrorDefinition<Values>): ErrorDefinition<Values> {
  return definition;
}

interface ReasonValues {
  reason: string;
}
interface NameValues {
  name: string;
}

export const ERRORS = {
  // Returned to callers before the request is forwarded.
  workspaceUnknown: defineError({
    title: 'Unknown workspace',
    status: 401,
    conclusion: 'refused',
    message: () => 'No workspace matches the credentials of this request.',
    hint: 'Send the API key of your workspace as "Authorization: Bearer <key>".',
  }),
  notAllowed: defineError({
    title: 'Not allowed',
    status: 403,
    conclusion: 'refused',
    message: ({ name, what }: { name: string; what: string }) =>
      `Workspace "${name}" may not use ${what}.`,
    hint: "Ask an operator to extend the workspace's selector or classes.",
  }),
  modelUnknown: defineError({
    title: 'Unknown model',
    status: 404,
    conclusion: 'refused',
    message: ({ name }: NameValues) => `There is no model "${name}".`,
    hint: 'GET /v1/models lists the models that your workspace may use.',
  }),
  serviceUnknown: defineError({
    title: 'Unknown service',
    status: 404,
    conclusion: 'refused',
    message: ({ name }: NameValues) => `There is no service "${name}".`,
    hint: 'Check the name after /services/ in the path.',
  }),
  routeUnknown: defineError({
    title: 'Unknown route',
    status: 404,
    conclusion: 'refused',
    message: ({ name }: NameValues) => `Nothing answers at ${name}.`,
    hint: 'Use /v1/chat/completions, /v1/models or /services/<name>/<path>.',
  }),
  invalidRequest: defineError({
    title: 'Invalid request',
    status: 400,
    conclusion: 'refused',
    message: ({ reason }: ReasonValues) => `The request is not valid: ${reason}.`,
    hint: 'Correct the request and send it again.',
  }),
  bodyTooLarge: defineError({
    title: 'Body too large',
    status: 413,
    conclusion: 'refused',
    message: ({ limitBytes }: { limitBytes: number }) =>
      `The body is larger than ${limitBytes} bytes.`,
    hint: 'Send a smaller body.',
  }),
  tooManyTokens: defineError({
    title: 'Too many tokens',
    status: 413,
    conclusion: 'refused',
    message: ({ tokens, limit }: { tokens: number; limit: number }) =>
      `The request may take ${tokens} tokens; a replica of the model holds ${limit}.`,
    hint: 'Shorten the prompt or lower the maximum number of output tokens.',
  }),
  senderTooSlow: defineError({
    title: 'Request timeout',
    status: 408,
    conclusion: 'notRun',
    message: ({ limitMs }: { limitMs: number }) =>
      `The request did not arrive whole within ${limitMs} ms.`,
    hint: 'Send it again over a better connection.',
  }),
  limitExceeded: defineError({
    title: 'Limit exceeded',
    status: 429,
    conclusion: 'notRun',
    message: ({ name, what }: { name: string; what: string }) =>
      `Workspace "${name}" is over its limit of ${what}.`,
    hint: 'Send it again after the time in Retry-After.',
  }),
  overloaded: defineError({
    title: 'Overloaded',
    status: 503,
    conclusion: 'notRun',
    message: ({ reason }: ReasonValues) => `The request was not run: ${reason}.`,
    hint: 'Send it again after the time in Retry-After.',
  }),
  noCapacity: defineError({
    title: 'No capacity',
    status: 503,
    conclusion: 'notRun',
    message: ({ name }: NameValues) => `Nothing is in service for "${name}" at the moment.`,
    hint: 'Send it again after the time in Retry-After.',
  }),
  evacuated: defineError({
    title: 'Evacuated',
    status: 503,
    conclusion: 'notRun',
    message: ({ name }: NameValues) =>
      `All backend servers of "${name}" are in failure domains that operators have evacuated.`,
    hint: 'Send it again after the time in Retry-After; operators end the evacuation.',
  }),
  stopping: defineError({
    title: 'Stopping',
    status: 503,
    conclusion: 'notRun',
    message: () => 'This entry is stopping and takes no new requests.',
    hint: 'Send it again: the balancer will choose another entry.',
  }),
  notReady: defineError({
    title: 'Not ready',
    status: 503,
    conclusion: 'notRun',
    message: ({ reason }: ReasonValues) => `This entry is not ready: ${reason}.`,
    hint: 'Send it again after the time in Retry-After.',
  }),
  quarantined: defineError({
    title: 'Request quarantined',
    status: 503,
    conclusion: 'notRun',
    message: () =>
      'The request was not run: backend servers ended while they ran it, or others with a part of its prompt.',
    hint: 'Report it to the operators; such requests are refused until the time in Retry-After.',
  }),
  deadlineBeforeStart: defineError({
    title: 'Deadline passed',
    status: 504,
    conclusion: 'notRun',
    message: () => 'The deadline passed before the request was sent on; it was not run.',
    hint: 'Send it again with a later deadline.',
  }),
  // Returned to callers after the request may have been forwarded.
  outcomeUnknown: defineError({
    title: 'Outcome unknown',
    status: 502,
    conclusion: 'unknown',
    message: ({ reason }: ReasonValues) => `The request may have run: ${reason}.`,
    hint: 'Find out whether it took effect before you send it again.',
  }),
  deadlineAfterStart: defineError({
    title: 'Deadline passed',
    status: 504,
    conclusion: 'unknown',
    message: () => 'The deadline passed while the request may have been running.',
    hint: 'Find out whether it took effect before you send it again.',
  }),
  runFailed: defineError({
    title: 'Run failed',
    status: 502,
    conclusion: 'failed',
    message: ({ reason }: ReasonValues) => `The request ran and failed: ${reason}.`,
    hint: 'Send it again if it may be repeated.',
  }),
  answerCut: defineError({
    title: 'Answer cut',
    status: 502,
    conclusion: 'failed',
    message: ({ reason }: ReasonValues) => `The answer is not whole: ${reason}.`,
    hint: 'Discard what arrived and send the request again.',
  }),
  callerGone: defineError({
    title: 'Caller gone',
    status: 499,
    conclusion: 'unknown',
    message: () => 'The caller closed the connection before the answer was whole.',
    hint: 'Nothing to do: the attempt was cancelled.',
  }),
  // Non-idempotent service calls that require an Idempotency-Key.
  keyRequired: defineError({
    title: 'Idempotency-Key required',
    status: 400,
    conclusion: 'refused',
    message: ({ name }: NameValues) => `Calls to "${name}" need an Idempotency-Key.`,
    hint: 'Send a fresh key with each new call, and the same key when you repeat it.',
  }),
  keyReused: defineError({
    title: 'Idempotency-Key reused',
    status: 422,
    conclusion: 'refused',
    message: () => 'This Idempotency-Key was used for a different request.',
    hint: 'Send a fresh key with each new call.',
  }),
  keyExpired: defineError({
    title: 'Idempotency-Key expired',
    status: 422,
    conclusion: 'refused',
    message: () => 'This Idempotency-Key is older than the retention of call records.',
    hint: 'Find out whether the call took effect, then send a fresh key.',
  }),
  callInProgress: defineError({
    title: 'Call in progress',
    status: 409,
    conclusion: 'unknown',
    message: () => 'A call with this Idempotency-Key is in progress.',
    hint: 'Ask again with the same key after the time in Retry-After.',
  }),
  answerNotKept: defineError({
    title: 'Answer not kept',
    status: 410,
    conclusion: 'unknown',
    message: ({ status }: { status: number }) =>
      `The call ran and was answered with status ${status}; the answer was too large to keep.`,
    hint: 'The call took effect if that status says so; do not send it again under a fresh key.',
  }),
  recordUnavailable: defineError({
    title: 'Record unavailable',
    status: 503,
    conclusion: 'notRun',
    message: ({ reason }: ReasonValues) =>
      `This request was not run, its call record could not be made: ${reason}.`,
    hint: 'Send it again with the same key after the time in Retry-After. What became of earlier requests with this key is not known here.',
  }),
  // Returned to operators.
  objectInvalid: defineError({
    title: 'Invalid object',
    status: 422,
    conclusion: 'refused',
    message: ({ name, reason }: { name: string; reason: string }) => `${name}: ${reason}`,
    hint: 'Correct the value that the message names and apply it again.',
  }),
  objectUnknown: defineError({
    title: 'Unknown object',
    status: 404,
    conclusion: 'refused',
    message: ({ name }: NameValues) => `There is no object "${name}".`,
    hint: '"yuccasail get <kind>" lists the objects.',
  }),
  versionConflict: defineError({
    title: 'Version conflict',
    status: 409,
    conclusion: 'refused',
    message: ({ name, won }: { name: string; won: number }) =>
      `"${name}" was changed by someone else; version ${won} won.`,
    hint: 'Read the object again, make your change to that version and apply it.',
  }),
  settingsInvalid: defineError({
    title: 'Invalid settings',
    status: 422,
    conclusion: 'refused',
    message: ({
      file,
      key,
      value,
      fix,
    }: {
      file: string;
      key: string;
      value: string;
      fix: string;
    }) => `${file}: ${key} = ${value}: ${fix}`,
    hint: 'Correct the key in the file and start again.',
  }),
  // Communication with the platform, engines and other processes.
  platformUnavailable: defineError({
    title: 'Platform unavailable',
    status: 503,
    conclusion: 'notRun',
    message: ({ reason }: ReasonValues) => `The platform did not take the call: ${reason}.`,
    hint: 'Try again after the time in Retry-After.',
  }),
  platformOutcomeUnknown: defineError({
    title: 'Platform outcome unknown',
    status: 503,
    conclusion: 'unknown',
    message: ({ reason }: ReasonValues) => `The platform's answer was lost: ${reason}.`,
    hint: 'Read the object again and look for your nonce.',
  }),
  messageInvalid: defineError({
    title: 'Invalid message',
    status: 502,
    conclusion: 'unknown',
    message: ({ from, reason }: { from: string; reason: string }) =>
      `The message from ${from} is not valid: ${reason}.`,
    hint: 'Check that both sides run compatible versions.',
  }),
  orderRefused: defineError({
    title: 'Order refused',
    status: 409,
    conclusion: 'refused',
    message: ({ name, reason }: { name: string; reason: string }) =>
      `Engine "${name}" refused the order: ${reason}.`,
    hint: 'The plan is read again before the next order.',
  }),
  unreachable: defineError({
    title: 'Unreachable',
    status: 503,
    conclusion: 'unknown',
    message: ({ name, reason }: { name: string; reason: string }) =>
      `"${name}" cannot be reached: ${reason}.`,
    hint: 'Check the instance and the network between.',
  }),
} as const;

export type ErrorKind = keyof typeof ERRORS;
