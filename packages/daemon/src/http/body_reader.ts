/**
 * Reads JSON bodies. Rejects all others before they are read: restify
 * decompresses bodies without a size limit and without handling corrupt data,
 * and its form parser writes files, for which instances have no disk.
 */
import restify, {type Next, type Request, type Response} from 'restify';
import {Failure} from '@galenavalve/shared';

const JSON_TYPE = /^application\/(.+\+)?json$/;

/** Creates the request handlers that read a JSON body of at most `maxBodySize` bytes. */
export function createBodyReader(
  maxBodySize: number,
): restify.RequestHandlerType[] {
  // The JSON parser passes the limit to its body reader.
  const options = {mapParams: false, maxBodySize};
  return [rejectUnsupportedBodies, ...restify.plugins.jsonBodyParser(options)];
}

/** Returns the length of the received body in bytes; a chunked request has no Content-Length. */
export function getBodyBytes(request: Request): number {
  const {rawBody} = request as {rawBody?: unknown};
  return typeof rawBody === 'string' || Buffer.isBuffer(rawBody)
    ? Buffer.byteLength(rawBody)
    : 0;
}

function rejectUnsupportedBodies(
  request: Request,
  response: Response,
  next: Next,
): void {
  const problem = findBodyProblem(request);
  if (problem === undefined) {
    next();
    return;
  }
  const failure = new Failure('bad-request', {problem});
  response.setHeader('Connection', 'close');
  response.send(failure.status, failure.toJSON());
  next(false);
}

function findBodyProblem(request: Request): string | undefined {
  if (request.headers['content-encoding'] !== undefined) {
    return 'the body must not be compressed';
  }
  const hasBody = request.getContentLength() > 0 || request.isChunked();
  return hasBody && !JSON_TYPE.test(request.getContentType())
    ? 'the body must be JSON with the content type application/json'
    : undefined;
}
