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
  /** Whether the caller takes the response for complete. */
  isComplete: Promise<boolean>;
}

const LAST_CHUNK = '0\r\n\r\n';

After(function (this: Partial<ReplyWorld>) {
  this.replyServer?.close();
  this.replyServer?.closeAllConnections();
});

Given(
  /^an answer whose end is marked by (chunks|its connection), of which a part was sent$/,
  async function (this: ReplyWorld, mark: string) {
    this.replyServer = createServer((_request, response) => {
      this.reply = createReply(response, () => false);
      this.reply.start(200, [], mark === 'its connection');
      this.reply.write(Buffer.from('a part'));
    });
    this.replyServer.listen(0, '127.0.0.1');
    await once(this.replyServer, 'listening');
    const caller = connect((this.replyServer.address() as AddressInfo).port, '127.0.0.1');
    caller.write('GET / HTTP/1.1\r\nHost: passes.example\r\n\r\n');
    this.isComplete = isCompleteResponse(caller, mark === 'chunks');
    await once(caller, 'data');
  },
);

/** A response counts as complete on a regular close, unless its last chunk is missing. */
function isCompleteResponse(caller: Socket, isChunked: boolean): Promise<boolean> {
  let text = '';
  return new Promise((resolve) => {
    caller.on('data', (bytes) => {
      text += String(bytes);
    });
    caller.once('end', () => {
      resolve(!isChunked || text.endsWith(LAST_CHUNK));
    });
    caller.once('error', () => {
      resolve(false);
    });
  });
}

When('it is cut', function (this: ReplyWorld) {
  this.reply.abort();
});

Then('its caller sees that it is not whole', async function (this: ReplyWorld) {
  assert.equal(await this.isComplete, false);
});
