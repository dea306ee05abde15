/**
 * Which statuses HTTP has. Parsers accept any three digits.
 */

const MIN_INTERIM_STATUS = 100;
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

export function isInterimStatus(status: number): boolean {
  return status >= MIN_INTERIM_STATUS && status < MIN_FINAL_STATUS;
}

/** Whether a response with this status can be the answer to a request. */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}
