/**
 * Writes the reference pages: `npm run reference`.
 */
import { writeFile } from 'node:fs/promises';
import { renderPages } from './pages.js';

for (const { path, text } of await renderPages()) await writeFile(path, text);
