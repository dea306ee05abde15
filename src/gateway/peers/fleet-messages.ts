/**
 * Backend servers on the way between gateways: small updates as they are, large ones and copies compressed.
 */
import * as z from 'zod';
import type { FleetSnapshot, FleetUpdate } from '../store/fleet-part.js';
import { fleetUpdateSchema, type CatchUpResponse } from './messages.js';
import { packValue, unpackValue } from './packed-values.js';

/** From this many changes on, compressing an update saves more than it costs. */
const PACKED_FROM_CHANGES = 8;

export const fleetMessageSchema = z.union([z.object({ packed: z.string() }), fleetUpdateSchema]);

/** An update as it is sent. */
export type FleetMessage = z.infer<typeof fleetMessageSchema>;

/** Copies for several receivers share one compressed form. */
export function encodeFleetUpdate(update: FleetUpdate): FleetMessage {
  return update.changes.length < PACKED_FROM_CHANGES ? update : { packed: packValue(update) };
}

/** Throws if what is packed is no update. */
export function decodeFleetUpdate(message: FleetMessage): FleetUpdate {
  return 'packed' in message ? fleetUpdateSchema.parse(unpackValue(message.packed)) : message;
}

/** A response to a catch-up call as it is sent. */
export type CatchUpMessage = Omit<CatchUpResponse, 'fleet'> & {
  fleet?: Omit<FleetSnapshot, 'servers'> & { packedServers: string };
};

/** Copies of one fleet share the compressed form of its servers. */
export function encodeCatchUp({ fleet, ...rest }: CatchUpResponse): CatchUpMessage {
  if (fleet === undefined) return rest;
  const { servers, ...others } = fleet;
  return { ...rest, fleet: { ...others, packedServers: packValue(servers) } };
}

export function decodeCatchUp({ fleet, ...rest }: CatchUpMessage): CatchUpResponse {
  if (fleet === undefined) return rest;
  const { packedServers, ...others } = fleet;
  const servers = unpackValue(packedServers) as FleetSnapshot['servers'];
  return { ...rest, fleet: { ...others, servers } };
}
