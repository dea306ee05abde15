/**
 * Responses to callers, observed on the sockets of the callers.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { After, Given, Then, When, type IWorld } from '@cucumber/cucumber';
import { createAnswerBudget } from '../../src/core/responses/index.js';
import { createReply, type Reply } from '../../src/gateway/requests/reply.js';

interface ReplyWorld extends IWorld {
  replyServer: Server;
  reply: Reply;
  /** The gateway's side of the connection. */
  replySocket: Socket;
  /** Whether the caller takes the response for complete. */
  isComplete: Promise<boolean>;
  replies: OpenReply[];
  heldBytes: number;
}

/** One of several responses of a gateway. */
interface OpenReply {
  reply: Reply;
  /** The gateway's side of the connection. */
  socket: Socket;
  isComplete: Promise<boolean>;
}

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';
const KB = 1_024;
const MB = 1_048_576;
const CHUNK_KB = 64;

After(function (this: Partial<ReplyWorld>) {
  this.replyServer?.close();
  this.replyServer?.closeAllConnections();
});

/** Starts `count` responses of one gateway. */
async function startReplies(
  world: ReplyWorld,
  version: string,
  count: number,
): Promise<OpenReply[]> {
  const server = createServer();
  world.replyServer = server;
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const answers = createAnswerBudget();
  const fields = 'Host: passes.example\r\nConnection: close';
  const replies: OpenReply[] = [];
  for (let started = 0; started < count; started += 1) {
    const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
    const isComplete = readToEnd(caller).then(isCompleteResponse, () => false);
    const accepted = once(server, 'request') as Promise<[IncomingMessage, ServerResponse]>;
    caller.write(`GET / HTTP/${version}\r\n${fields}${HEAD_END}`);
    const [request, response] = await accepted;
    const reply = createReply(response, () => false, answers);
    reply.start(200, []);
    const received = version === '1.1' ? once(caller, 'data') : undefined;
    reply.write(Buffer.from('a part'));
    await received;
    replies.push({ reply, socket: request.socket, isComplete });
  }
  return replies;
}

Given(
  /^a response to a caller of HTTP\/(1\.[01]), of which a part was sent$/,
  async function (this: ReplyWorld, version: string) {
    const [first] = await startReplies(this, version, 1);
    assert.ok(first);
    this.reply = first.reply;
    this.replySocket = first.socket;
    this.isComplete = first.isComplete;
  },
);

Given(
  /^(\d+) responses to callers of HTTP\/(1\.[01]), of each of which a part was sent$/,
  async function (this: ReplyWorld, count: string, version: string) {
    this.replies = await startReplies(this, version, Number(count));
  },
);

function isOpen({ socket }: OpenReply): boolean {
  return !socket.destroyed;
}

When(
  'the gateway sends {int} KB of all but the last',
  function (this: ReplyWorld, kilobytes: number) {
    const endless = this.replies.slice(0, -1);
    for (let sent = 0; sent < kilobytes; sent += CHUNK_KB)
      for (const { reply } of endless.filter(isOpen)) reply.write(Buffer.alloc(CHUNK_KB * KB));
    this.heldBytes = endless.filter(isOpen).length * kilobytes * KB;
  },
);

Then('it holds at most {int} MB of them', function (this: ReplyWorld, megabytes: number) {
  this.log(`${this.heldBytes} bytes`);
  assert.ok(this.heldBytes <= megabytes * MB, `${this.heldBytes} bytes`);
});

When(
  'the callers of these leave, and the gateway sends {int} KB more of each and ends the last',
  async function (this: ReplyWorld, kilobytes: number) {
    for (const { socket } of this.replies.slice(0, -1)) socket.destroy();
    await Promise.all(this.replies.slice(0, -1).map(({ isComplete }) => isComplete));
    // The answers may still come for a moment after their callers have left.
    for (const { reply } of this.replies.slice(0, -1))
      for (let sent = 0; sent < kilobytes; sent += CHUNK_KB)
        reply.write(Buffer.alloc(CHUNK_KB * KB));
    const last = this.replies.at(-1);
    assert.ok(last);
    for (let sent = 0; sent < kilobytes; sent += CHUNK_KB)
      last.reply.write(Buffer.alloc(CHUNK_KB * KB));
    last.reply.end();
    this.isComplete = last.isComplete;
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
