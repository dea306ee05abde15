/**
 * Opens connections for HTTP clients.
 */
import { buildConnector } from 'undici';
import type { Milliseconds } from '../clock/index.js';
import { protectPausedParser } from './paused-parser.js';
import { resetIfUnanswered } from './unanswered-reset.js';

/**
 * A connector whose connections may end at any time: while nobody takes a response, or before there is one, after
 * which nothing of the request is delivered.
 */
export function createConnector(timeoutMs: Milliseconds): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) {
        protectPausedParser(socket);
        resetIfUnanswered(socket);
      }
      callback(...result);
    });
  };
}
