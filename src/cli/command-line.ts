/**
 * Parsing of a command's arguments, the same way for every command.
 */
import meow, { type AnyFlags, type Options, type Result } from 'meow';
import packageJson from '../../package.json' with { type: 'json' };

interface CommandLineOptions<Flags extends AnyFlags> {
  help: string;
  argv: readonly string[];
  flags: Flags;
  commands?: readonly string[];
}

/**
 * Parses `argv`. Prints help or version and ends the process when those are asked for; ends it
 * with exit code 2 on an unknown or missing flag.
 *
 * The package is passed because one bundled file has no package.json above it to be found.
 */
export function parseCommandLine<const Flags extends AnyFlags>({
  help,
  argv,
  flags,
  commands,
}: CommandLineOptions<Flags>): Result<Flags> {
  const options: Options<Flags> = {
    importMeta: import.meta,
    pkg: packageJson,
    description: false,
    argv,
    flags,
    allowUnknownFlags: false,
    ...(commands === undefined ? {} : { commands }),
  };
  return meow(help, options);
}
