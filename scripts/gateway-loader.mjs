// Runs the gateway from the code that V8 compiled for it when it was built.
//
// A gateway that starts anew serves nobody until its modules are compiled and evaluated: 0.53 s of
// processor time from source, 0.23 s from compiled code, of which 0.10 s are the runtime's own, measured
// on a busy machine. After a loss of power that time is in the way of every caller. Compiled code of
// another version of V8 is refused by V8 itself, and the script is compiled as usual.
//
// An import of a built-in module would evaluate all its properties, and load promises and streams of
// node:fs among others.
const { existsSync, readFileSync } = process.getBuiltinModule('node:fs');
const { fileURLToPath, URL } = process.getBuiltinModule('node:url');
const { Script } = process.getBuiltinModule('node:vm');

/** The script of the gateway, which requires built-in modules only; `load` returns what it exports. */
export function compileGateway(source, filename, cachedData) {
  const wrapped = `(function (exports, require, module) {${source}\n})`;
  const script = new Script(wrapped, { filename, cachedData });
  const load = () => {
    const loaded = { exports: {} };
    script.runInThisContext()(loaded.exports, process.getBuiltinModule, loaded);
    return loaded.exports;
  };
  return { script, load };
}

const file = fileURLToPath(new URL('./yuccasail-gateway.cjs', import.meta.url));
if (existsSync(file)) {
  const { load } = compileGateway(readFileSync(file, 'utf8'), file, readFileSync(`${file}.cache`));
  const [settingsFile = ''] = process.argv.slice(2);
  await load().run(settingsFile);
}
