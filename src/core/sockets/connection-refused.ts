/**
 * Telling a refused TCP connection from other failures.
 */

/** Whether nothing listens at the address that the connection was for. */
export function isConnectionRefused(error: unknown): boolean {
  return error instanceof Error && (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
}
