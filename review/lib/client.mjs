/** A stand-in for callers: keeps connections open and sends each request once. */
import { Agent, request as httpRequest } from 'node:http';
import { now } from './site.mjs';
import { HOST, KEY } from './configuration.mjs';

let count = 0;

export class Client {
  constructor(gateway) {
    this.gateway = gateway;
    this.agent = new Agent({ keepAlive: true, maxSockets: 64 });
    this.sent = [];
  }

  /** Sends one request and resolves with what came back. */
  send(method, path, { deadlineMs = 1_500, body, headers = {} } = {}) {
    count += 1;
    const id = `c${String(count).padStart(6, '0')}`;
    const record = { id, gateway: this.gateway.name, path, sentAt: now(), status: 0, body: '' };
    this.sent.push(record);
    const [host, port] = this.gateway.frontend.split(':');
    return new Promise((resolve) => {
      const finish = (outcome) => {
        if (record.outcome !== undefined) return;
        record.outcome = outcome;
        record.endedAt = now();
        resolve(record);
      };
      const outgoing = httpRequest(
        {
          host,
          port,
          method,
          path,
          agent: this.agent,
          timeout: deadlineMs + 3_000,
          headers: {
            Host: HOST,
            'Attempt-Id': id,
            'Deadline-Ms': String(deadlineMs),
            Authorization: `Bearer ${KEY}`,
            ...(body !== undefined && { 'Content-Length': body.length }),
            ...headers,
          },
        },
        (incoming) => {
          record.status = incoming.statusCode;
          record.headers = incoming.headers;
          incoming.on('data', (chunk) => {
            record.body += chunk.toString('latin1');
          });
          incoming.on('end', () => finish(incoming.complete ? 'complete' : 'cut'));
          incoming.on('error', () => finish('cut'));
        },
      );
      outgoing.on('timeout', () => outgoing.destroy());
      outgoing.on('error', (error) => finish(`error ${error.code ?? error.message}`));
      outgoing.end(body);
    });
  }

  close() {
    this.agent.destroy();
  }
}
