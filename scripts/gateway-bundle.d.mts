import type { BuildOptions } from 'esbuild';

export const gatewayBundle: BuildOptions;
