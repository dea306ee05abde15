/**
 * `POST /v1/chat/completions`: one completion in, server-sent events or one JSON object out.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import { createFailure, type Failure } from '../../core/errors/index.js';
import { sendFailure } from './answers.js';
import { readBody, type BodyBounds } from './body.js';
import { createCollector, createStream, type AnswerHead } from './completion-outputs.js';
import { completionBodySchema, type CompletionBody } from './completion-schema.js';
import type { RequestHead, RequestPath } from './types.js';

/** Serves one completion. Resolves when its answer has been written. */
export async function serveCompletion(
  path: RequestPath,
  head: RequestHead,
  bounds: BodyBounds,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = (await readBody(request, bounds)).andThen(parseBody);
  if (body.isErr()) {
    refuseBody(response, body.error, head.id);
    return;
  }
  const { model, stream, ...rest } = body.value;
  const answer: AnswerHead = { id: head.id, model, created: Math.floor(Date.now() / 1_000) };
  const output = stream ? createStream(response, answer) : createCollector(response, answer);
  const outcome = await path.complete({ ...head, ...rest, model }, output);
  output.finish(outcome);
}

function parseBody(bytes: Buffer): Result<CompletionBody, Failure> {
  let json: unknown;
  try {
    json = JSON.parse(bytes.toString('utf8'));
  } catch {
    return err(createFailure('invalidRequest', { reason: 'the body is not JSON' }));
  }
  const parsed = completionBodySchema.safeParse(json);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  const reason = `${issue?.path.join('.') ?? 'body'}: ${issue?.message ?? 'not valid'}`;
  return err(createFailure('invalidRequest', { reason }));
}

function refuseBody(response: ServerResponse, failure: Failure, id: string): void {
  // The rest of the body may still be on its way; it must not be read as the next request.
  if (failure.kind !== 'invalidRequest') response.setHeader('Connection', 'close');
  sendFailure(response, failure, id);
}
