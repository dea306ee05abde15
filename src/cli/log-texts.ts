/**
 * The texts of the logs that a command reads.
 */
import { readFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';

/** The texts of `files`, or of standard input when there are none. */
export async function readLogTexts(files: readonly string[]): Promise<string[]> {
  if (files.length === 0) return [await text(process.stdin)];
  return Promise.all(files.map((file) => readFile(file, 'utf8')));
}
