/**
 * Responses to callers, observed on the sockets of the callers.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { createReply, type Reply } from '../../src/gateway/requests/reply.js';

interface ReplyWorld {
  replyServer: Server;
  reply: Reply;
  /** The gateway's side of the connection. */
  replySocket: Socket;
  /** Whether the caller takes the response for complete. */
  isComplete: Promise<boolean>;
}

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';
const MB = 1_048_576;

After(function (this: Partial<ReplyWorld>) {
  this.replyServer?.close();
  this.replyServer?.closeAllConnections();
});

Given(
  /^a response to a caller of HTTP\/(1\.[01]), of which a part was sent$/,
  async function (this: ReplyWorld, version: string) {
    this.replyServer = createServer();
    this.replyServer.listen(0, '127.0.0.1');
    await once(this.replyServer, 'listening');
    const caller = connect((this.replyServer.address() as AddressInfo).port, '127.0.0.1');
    this.isComplete = readToEnd(caller).then(isCompleteResponse, () => false);
    const started = new Promise<void>((resolve) => {
      this.replyServer.once('request', (request, response) => {
        this.replySocket = request.socket;
        this.reply = createReply(response, () => false);
        this.reply.start(200, []);
        this.reply.write(Buffer.from('a part'));
        resolve();
      });
    });
    const fields = 'Host: passes.example\r\nConnection: close';
    caller.write(`GET / HTTP/${version}\r\n${fields}${HEAD_END}`);
    await started;
    if (version === '1.1') await once(caller, 'data');
  },
);

/** What has come until the regular end of the connection; rejects if it is reset. */
async function readToEnd(caller: Socket): Promise<string> {
  let text = '';
  for await (const bytes of caller) text += (bytes as Buffer).toString('latin1');
  return text;
}

/** Whether a caller takes what it has received until a regular close for a complete response. */
function isCompleteResponse(text: string): boolean {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) return false;
  const head = text.slice(0, headEnd).toLowerCase();
  const length = /\r\ncontent-length: (\d+)/.exec(head)?.[1];
  if (length !== undefined) return text.length === headEnd + HEAD_END.length + Number(length);
  return !head.includes('transfer-encoding: chunked') || text.endsWith(LAST_CHUNK);
}

When('the gateway cuts it', function (this: ReplyWorld) {
  this.reply.abort();
});

// The system closes the connections of a killed process regularly.
When('the gateway is killed', function (this: ReplyWorld) {
  this.replySocket.destroy();
});

When('the gateway ends it', function (this: ReplyWorld) {
  this.reply.write(Buffer.from(' and the rest'));
  this.reply.end();
});

When('the gateway sends {int} MB of it', function (this: ReplyWorld, megabytes: number) {
  for (let sent = 0; sent < megabytes; sent += 1) this.reply.write(Buffer.alloc(MB));
  if (!this.replySocket.destroyed) this.reply.end();
});

Then(
  /^its caller sees that it is (not )?whole$/,
  async function (this: ReplyWorld, not: string | null) {
    assert.equal(await this.isComplete, not === null);
  },
);
