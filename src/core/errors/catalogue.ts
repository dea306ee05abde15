/**
 * The closed list of error kinds and, for each, what the one who meets it is told.
 *
 * `conclusion` is what a caller may conclude of the request: `notRun` (no byte of it can have
 * reached a backend server), `unknown` (it may have run), `failed` (it ran and failed), `refused`
 * (not run, and asking again unchanged will not help). `status` is the HTTP status of the answer.
 */

/** What may be concluded of a request that met an error. */
export type Conclusion = 'notRun' | 'unknown' | 'failed' | 'refused';

interface ErrorEntry<Values> {
  title: string;
  status: number;
  conclusion: Conclusion;
  message: (values: Values) => string;
  /** What the reader should do next. */
  hint: string;
}

function entry<Values>(definition: ErrorEntry<Values>): ErrorEntry<Values> {
  return definition;
}

interface Reason {
  reason: string;
}
interface Name {
  name: string;
}

export const ERRORS = {
  // What callers meet before anything is sent on.
  workspaceUnknown: entry({
    title: 'Unknown workspace',
    status: 401,
    conclusion: 'refused',
    message: () => 'No workspace matches the credentials of this request.',
    hint: 'Send the API key of your workspace as "Authorization: Bearer <key>".',
  }),
  notAllowed: entry({
    title: 'Not allowed',
    status: 403,
    conclusion: 'refused',
    message: ({ name, what }: { name: string; what: string }) =>
      `Workspace "${name}" may not use ${what}.`,
    hint: "Ask an operator to extend the workspace's selector or classes.",
  }),
  modelUnknown: entry({
    title: 'Unknown model',
    status: 404,
    conclusion: 'refused',
    message: ({ name }: Name) => `There is no model "${name}".`,
    hint: 'GET /v1/models lists the models that your workspace may use.',
  }),
  serviceUnknown: entry({
    title: 'Unknown service',
    status: 404,
    conclusion: 'refused',
    message: ({ name }: Name) => `There is no service "${name}".`,
    hint: 'Check the name after /services/ in the path.',
  }),
  routeUnknown: entry({
    title: 'Unknown route',
    status: 404,
    conclusion: 'refused',
    message: ({ name }: Name) => `Nothing answers at ${name}.`,
    hint: 'Use /v1/chat/completions, /v1/models or /services/<name>/<path>.',
  }),
  invalidRequest: entry({
    title: 'Invalid request',
    status: 400,
    conclusion: 'refused',
    message: ({ reason }: Reason) => `The request is not valid: ${reason}.`,
    hint: 'Correct the request and send it again.',
  }),
  bodyTooLarge: entry({
    title: 'Body too large',
    status: 413,
    conclusion: 'refused',
    message: ({ limitBytes }: { limitBytes: number }) =>
      `The body is larger than ${limitBytes} bytes.`,
    hint: 'Send a smaller body.',
  }),
  senderTooSlow: entry({
    title: 'Request timeout',
    status: 408,
    conclusion: 'notRun',
    message: ({ limitMs }: { limitMs: number }) =>
      `The request did not arrive whole within ${limitMs} ms.`,
    hint: 'Send it again over a better connection.',
  }),
  limitExceeded: entry({
    title: 'Limit exceeded',
    status: 429,
    conclusion: 'notRun',
    message: ({ name, what }: { name: string; what: string }) =>
      `Workspace "${name}" is over its limit of ${what}.`,
    hint: 'Send it again after the time in Retry-After.',
  }),
  overloaded: entry({
    title: 'Overloaded',
    status: 503,
    conclusion: 'notRun',
    message: ({ reason }: Reason) => `The request was not run: ${reason}.`,
    hint: 'Send it again after the time in Retry-After.',
  }),
  noCapacity: entry({
    title: 'No capacity',
    status: 503,
    conclusion: 'notRun',
    message: ({ name }: Name) => `Nothing is in service for "${name}" at the moment.`,
    hint: 'Send it again after the time in Retry-After.',
  }),
  stopping: entry({
    title: 'Stopping',
    status: 503,
    conclusion: 'notRun',
    message: () => 'This entry is stopping and takes no new requests.',
    hint: 'Send it again: the balancer will choose another entry.',
  }),
  notReady: entry({
    title: 'Not ready',
    status: 503,
    conclusion: 'notRun',
    message: ({ reason }: Reason) => `This entry is not ready: ${reason}.`,
    hint: 'Send it again after the time in Retry-After.',
  }),
  quarantined: entry({
    title: 'Request quarantined',
    status: 503,
    conclusion: 'notRun',
    message: () => 'The request was not run: backend servers ended while they ran it before.',
    hint: 'Report it to the operators; the same request is refused until the time in Retry-After.',
  }),
  deadlineBeforeStart: entry({
    title: 'Deadline passed',
    status: 504,
    conclusion: 'notRun',
    message: () => 'The deadline passed before the request was sent on; it was not run.',
    hint: 'Send it again with a later deadline.',
  }),
  // What callers meet once something may have been sent on.
  outcomeUnknown: entry({
    title: 'Outcome unknown',
    status: 502,
    conclusion: 'unknown',
    message: ({ reason }: Reason) => `The request may have run: ${reason}.`,
    hint: 'Find out whether it took effect before you send it again.',
  }),
  deadlineAfterStart: entry({
    title: 'Deadline passed',
    status: 504,
    conclusion: 'unknown',
    message: () => 'The deadline passed while the request may have been running.',
    hint: 'Find out whether it took effect before you send it again.',
  }),
  runFailed: entry({
    title: 'Run failed',
    status: 502,
    conclusion: 'failed',
    message: ({ reason }: Reason) => `The request ran and failed: ${reason}.`,
    hint: 'Send it again if it may be repeated.',
  }),
  answerCut: entry({
    title: 'Answer cut',
    status: 502,
    conclusion: 'failed',
    message: ({ reason }: Reason) => `The answer is not whole: ${reason}.`,
    hint: 'Discard what arrived and send the request again.',
  }),
  callerGone: entry({
    title: 'Caller gone',
    status: 499,
    conclusion: 'unknown',
    message: () => 'The caller closed the connection before the answer was whole.',
    hint: 'Nothing to do: the attempt was cancelled.',
  }),
  // Calls that may run only once.
  keyRequired: entry({
    title: 'Idempotency-Key required',
    status: 400,
    conclusion: 'refused',
    message: ({ name }: Name) => `Calls to "${name}" need an Idempotency-Key.`,
    hint: 'Send a fresh key with each new call, and the same key when you repeat it.',
  }),
  keyReused: entry({
    title: 'Idempotency-Key reused',
    status: 422,
    conclusion: 'refused',
    message: () => 'This Idempotency-Key was used for a different request.',
    hint: 'Send a fresh key with each new call.',
  }),
  keyExpired: entry({
    title: 'Idempotency-Key expired',
    status: 422,
    conclusion: 'refused',
    message: () => 'This Idempotency-Key is older than the retention of call records.',
    hint: 'Find out whether the call took effect, then send a fresh key.',
  }),
  callInProgress: entry({
    title: 'Call in progress',
    status: 409,
    conclusion: 'unknown',
    message: () => 'A call with this Idempotency-Key is in progress.',
    hint: 'Ask again with the same key after the time in Retry-After.',
  }),
  answerNotKept: entry({
    title: 'Answer not kept',
    status: 410,
    conclusion: 'unknown',
    message: ({ status }: { status: number }) =>
      `The call ran and was answered with status ${status}; the answer was too large to keep.`,
    hint: 'The call took effect if that status says so; do not send it again under a fresh key.',
  }),
  recordUnavailable: entry({
    title: 'Record unavailable',
    status: 503,
    conclusion: 'notRun',
    message: ({ reason }: Reason) =>
      `This request was not run, its call record could not be made: ${reason}.`,
    hint: 'Send it again with the same key after the time in Retry-After. What became of earlier requests with this key is not known here.',
  }),
  // What operators meet.
  objectInvalid: entry({
    title: 'Invalid object',
    status: 422,
    conclusion: 'refused',
    message: ({ name, reason }: { name: string; reason: string }) => `${name}: ${reason}`,
    hint: 'Correct the value that the message names and apply it again.',
  }),
  objectUnknown: entry({
    title: 'Unknown object',
    status: 404,
    conclusion: 'refused',
    message: ({ name }: Name) => `There is no object "${name}".`,
    hint: '"yuccasail get <kind>" lists the objects.',
  }),
  versionConflict: entry({
    title: 'Version conflict',
    status: 409,
    conclusion: 'refused',
    message: ({ name, won }: { name: string; won: number }) =>
      `"${name}" was changed by someone else; version ${won} won.`,
    hint: 'Read the object again, make your change to that version and apply it.',
  }),
  settingsInvalid: entry({
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
  // Between the system's processes and its surroundings.
  platformUnavailable: entry({
    title: 'Platform unavailable',
    status: 503,
    conclusion: 'notRun',
    message: ({ reason }: Reason) => `The platform did not take the call: ${reason}.`,
    hint: 'Try again after the time in Retry-After.',
  }),
  platformOutcomeUnknown: entry({
    title: 'Platform outcome unknown',
    status: 503,
    conclusion: 'unknown',
    message: ({ reason }: Reason) => `The platform's answer was lost: ${reason}.`,
    hint: 'Read the object again and look for your nonce.',
  }),
  messageInvalid: entry({
    title: 'Invalid message',
    status: 502,
    conclusion: 'unknown',
    message: ({ from, reason }: { from: string; reason: string }) =>
      `The message from ${from} is not valid: ${reason}.`,
    hint: 'Check that both sides run compatible versions.',
  }),
  orderRefused: entry({
    title: 'Order refused',
    status: 409,
    conclusion: 'refused',
    message: ({ name, reason }: { name: string; reason: string }) =>
      `Engine "${name}" refused the order: ${reason}.`,
    hint: 'The plan is read again before the next order.',
  }),
  unreachable: entry({
    title: 'Unreachable',
    status: 503,
    conclusion: 'unknown',
    message: ({ name, reason }: { name: string; reason: string }) =>
      `"${name}" cannot be reached: ${reason}.`,
    hint: 'Check the instance and the network between.',
  }),
} as const;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof ERRORS;
