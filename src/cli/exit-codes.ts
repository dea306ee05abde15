/**
 * The exit codes of all commands, with what each means.
 */

interface ExitEntry {
  code: number;
  meaning: string;
}

export const EXITS = {
  done: { code: 0, meaning: 'Done as asked; for `entry`, stopped gracefully.' },
  unexpected: { code: 1, meaning: 'An error that no code expected; please report it.' },
  usage: {
    code: 2,
    meaning: 'Wrong use, or invalid settings or objects: nothing was started or changed.',
  },
  unreachable: {
    code: 3,
    meaning:
      'The entry or its platform could not be reached; whether a change was made is in the message.',
  },
  refused: {
    code: 4,
    meaning: 'The entry refused: unknown object, invalid object or version conflict.',
  },
  pending: {
    code: 5,
    meaning: 'Written, but not yet in force at every live entry when the wait ended.',
  },
  failedAnswers: {
    code: 6,
    meaning: '`load` or `dev --once`: some answers were not whole or were errors.',
  },
} as const satisfies Record<string, ExitEntry>;

/** How a command ended. */
export type Exit = keyof typeof EXITS;
