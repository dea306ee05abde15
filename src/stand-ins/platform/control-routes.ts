/**
 * The routes by which tests steer and watch the platform stand-in. They work in outages as well.
 *
 *     POST /control            platformControl → what is switched on now
 *     GET  /control/counters   → calls by sort
 *     GET  /control/journal    ?kind= → writes that took effect
 *     GET, PUT, DELETE /control/objects/:kind/:name  the newest object, past every fault and limit
 */
import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import * as z from 'zod';
import { parseJson } from '../../core/json/index.js';
import { nameSchema, objectKindSchema } from '../../objects/index.js';
import type { PlatformControls } from './controls.js';
import { platformControlSchema } from './faults.js';

const addressSchema = z.object({ kind: objectKindSchema, name: nameSchema });

/** Routes over the same controls that the stand-in's own object has. */
export function createControlRoutes(controls: PlatformControls): Hono<{ Bindings: HttpBindings }> {
  const routes = new Hono<{ Bindings: HttpBindings }>();

  routes.post('/control', async (context) => {
    const control = platformControlSchema.safeParse(parseJson(await context.req.text()));
    if (!control.success) return context.json({ reason: z.prettifyError(control.error) }, 400);
    controls.control(control.data);
    return context.json({});
  });

  routes.get('/control/counters', (context) => context.json(controls.counters()));

  routes.get('/control/journal', (context) => {
    const kind = context.req.query('kind');
    const entries = controls.journal();
    return context.json({
      entries: kind === undefined ? entries : entries.filter((entry) => entry.object.kind === kind),
    });
  });
  addObjectRoutes(routes, controls);
  return routes;
}

function addObjectRoutes(
  routes: Hono<{ Bindings: HttpBindings }>,
  controls: PlatformControls,
): void {
  routes.get('/control/objects/:kind/:name', (context) => {
    const { kind, name } = addressSchema.parse(context.req.param());
    const object = controls.read(kind, name);
    return object === undefined ? context.json({}, 404) : context.json(object);
  });
  routes.put('/control/objects/:kind/:name', async (context) => {
    const { kind, name } = addressSchema.parse(context.req.param());
    return context.json(controls.put(kind, name, parseJson(await context.req.text())));
  });
  routes.delete('/control/objects/:kind/:name', (context) => {
    const { kind, name } = addressSchema.parse(context.req.param());
    return context.json(controls.remove(kind, name));
  });
}
