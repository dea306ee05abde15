/** Runs a case: writes its record, ends its processes and exits with its status. */
import { writeFile } from 'node:fs/promises';
import process from 'node:process';
import type { Site } from './site.mjs';

export async function main(site: Site, play: () => Promise<number>): Promise<never> {
  const folder = process.argv[2] ?? '.';
  let code = 2;
  try {
    code = await play();
  } catch (error) {
    site.note(`could not run: ${String(error)}`);
  } finally {
    await site.close(`${folder}/record.txt`);
  }
  console.log(site.record.filter((line) => /BROKEN|rule|could not/.test(line)).join('\n'));
  const logs = process.env.GATEWAY_LOGS;
  if (logs)
    for (const { name, log } of site.gateways)
      await writeFile(`${logs}/${name}.log`, log.join('\n'));
  process.exit(code);
}
