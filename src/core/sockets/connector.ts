/**
 * Opens connections for HTTP clients.
 */
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import type { Milliseconds } from '../clock/index.js';
import { inputFirst } from '../pending-input/index.js';
import { protectPausedParser } from './paused-parser.js';
import { resetIfUnanswered } from './unanswered-reset.js';

/** Receives a connection that requests are written to at once, or why there is none. */
export type ConnectCallback = (
  ...args: [error: null, socket: Socket] | [error: Error, socket: null]
) => void;

/**
 * Hands over a connection that was opened. It may end at any time: while nobody takes a response, or before
 * there is one, after which nothing of the request is delivered. What waits for it may have been given up
 * meanwhile, so input is read first.
 */
export function handOver(socket: Socket, callback: ConnectCallback): void {
  inputFirst.add(() => {
    if (socket.destroyed || socket.readableEnded) {
      callback(new Error('the connection was closed'), null);
      return;
    }
    protectPausedParser(socket);
    resetIfUnanswered(socket);
    callback(null, socket);
  });
}

/** A connector for undici. */
export function createConnector(timeoutMs: Milliseconds): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error) callback(error, null);
      else handOver(socket, callback);
    });
  };
}
