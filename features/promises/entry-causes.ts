/**
 * Errors that a caller meets at an entry that is starting or stopping.
 */
import { connect, type Socket } from 'node:net';
import { waitFor } from '../support/waiting.js';
import { ask, createCompletion, readError, type Told } from './asking.js';
import { API_KEY } from './callers.js';
import { SERVICE, type Deployment } from './deployment.js';
import { createQuestion } from './world.js';

/** Longer than a stopping entry waits for its balancer. */
const CALL_MS = 2_500;
const CALL_PATH = '/echo/until-refused';

/** An entry that starts while nobody can tell it the configuration. */
export async function causeNotReady(site: Deployment): Promise<Told[]> {
  for (const { process } of site.entries.values()) process.signal('SIGSTOP');
  await site.platform.control({ outage: 'refuse' });
  const entry = await site.startEntry();
  const told = await ask(entry.callers, createCompletion(createQuestion(1), false));
  await site.platform.control({ outage: 'none' });
  for (const { process } of site.entries.values()) process.signal('SIGCONT');
  await waitFor('the late entry to be ready', () => entry.isReady());
  return [told];
}

/**
 * An entry that is told to stop while a call is under way, on whose connection another request
 * comes once the entry has closed its listener. The call under way keeps that connection open.
 */
export async function causeStopping(site: Deployment): Promise<Told[]> {
  const entry = [...site.entries.values()].at(-1) ?? site.entry(0);
  const { host, hostname, port } = new URL(`http://${entry.callers}`);
  const service = site.service(0);
  await service.control({ faults: [{ kind: 'slow', ms: CALL_MS }] });
  const socket = connect({ host: hostname, port: Number(port) });
  const received = readAll(socket);
  socket.write(renderCall(host));
  await waitFor('the call to run', async () => {
    return (await service.journal()).runs.some(({ path }) => path === CALL_PATH);
  });
  entry.process.signal('SIGTERM');
  await waitFor('the listener to be closed', () => isRefused(hostname, Number(port)));
  socket.write(renderCall(host));
  const told: Told = { status: 503, body: await received, broken: false };
  readError(told);
  await entry.process.exited;
  return [told];
}

function renderCall(host: string): string {
  const head = [
    `POST /services/${SERVICE}${CALL_PATH} HTTP/1.1`,
    `Host: ${host}`,
    `Authorization: Bearer ${API_KEY}`,
    'Content-Length: 0',
  ];
  return `${head.join('\r\n')}\r\n\r\n`;
}

async function readAll(socket: Socket): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of socket) parts.push(part as Buffer);
  return Buffer.concat(parts).toString('utf8');
}

function isRefused(hostname: string, port: number): Promise<boolean> {
  const socket = connect({ host: hostname, port });
  return new Promise((resolve) => {
    socket.once('error', () => {
      resolve(true);
    });
    socket.once('connect', () => {
      socket.destroy();
      resolve(false);
    });
  });
}
