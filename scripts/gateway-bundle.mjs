// What a bundle of the gateway consists of; the build and the profile add where it goes.
import { fileURLToPath, URL } from 'node:url';

/** The module of undici that speaks HTTP/2, which the gateway does not, and that loads node:http2. */
const UNDICI_HTTP2 = /[\\/]undici[\\/]lib[\\/]dispatcher[\\/]client-h2\.js$/;
const DISPATCHERS = fileURLToPath(new URL('./undici-dispatchers.cjs', import.meta.url));

/** Bundles only the part of undici that the gateway uses: the whole package is half of the bundle. */
const undiciPart = {
  name: 'undici-part',
  setup(build) {
    build.onResolve({ filter: /^undici$/ }, () => ({ path: DISPATCHERS }));
    build.onLoad({ filter: UNDICI_HTTP2 }, () => ({
      contents: "module.exports = () => { throw new Error('HTTP/2 is not supported'); };",
    }));
  },
};

/** Options of esbuild. */
export const gatewayBundle = {
  entryPoints: ['platform/main.ts'],
  bundle: true,
  platform: 'node',
  target: 'node20',
  // A script, because only scripts can be run from compiled code.
  format: 'cjs',
  plugins: [undiciPart],
  // Leaves out what libraries load for developers, such as colours for diagnostics.
  define: { 'process.env.NODE_ENV': '"production"' },
  logLevel: 'warning',
};
