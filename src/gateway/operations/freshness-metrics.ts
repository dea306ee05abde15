/**
 * Gauges for the active configuration version and the freshness of configuration and fleet.
 */
import { Gauge } from 'prom-client';
import { proofAge, type Proof } from '../../controllers/freshness/index.js';
import type { Section } from '../../board/index.js';
import type { GatewayContext } from '../types.js';

const MS_PER_SECOND = 1_000;

/** Registers gauges whose values are computed when they are collected. */
export function registerFreshnessGauges({ board, clock, metrics, settings }: GatewayContext): void {
  const registers = [metrics.registry];
  new Gauge({
    name: 'yuccasail_gateway_configuration_version',
    help: 'Version of the serving configuration in force here; 0 before the first.',
    registers,
    collect() {
      this.set(board.serving.read()?.configuration.version ?? 0);
    },
  });
  const proofSections: Readonly<Record<string, Section<Proof | undefined>>> = {
    configuration: board.configurationProof,
    servers: board.fleetProof,
    ...(settings.evacuation && { evacuations: board.evacuationProof }),
  };
  new Gauge({
    name: 'yuccasail_gateway_belief_age_seconds',
    help: 'Time since what is believed was known to be the newest, by subject and source; absent before the first proof.',
    labelNames: ['subject', 'source'],
    registers,
    collect() {
      this.reset();
      for (const [subject, section] of Object.entries(proofSections)) {
        const proof = section.read();
        const ageMs = proofAge(proof, clock.now());
        if (proof === undefined || ageMs === undefined) continue;
        this.set({ subject, source: proof.source }, ageMs / MS_PER_SECOND);
      }
    },
  });
}
