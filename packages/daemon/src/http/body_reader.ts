/**
 * Reads JSON bodies. Compressed bodies are refused before anything is read:
 * restify unpacks them without a bound and without catching what is damaged,
 * and its parser of forms writes files, which instances have no disk for.
 */
import restify, {type Next, type Request, type Response} from 'restify';
import {Failure} from '@galenavalve/shared';

const JSON_TYPE = /^application\/(.+\+)?json$/;

/** The handlers that read a JSON body of at most `maxBodySize` bytes. */
export function createBodyReader(
  maxBodySize: number,
): restify.RequestHandlerType[] {
  // The body reader inside the JSON parser takes the limit.
  const options = {mapParams: false, maxBodySize};
  return [refuseOtherBodies, ...restify.plugins.jsonBodyParser(options)];
}

/** Length of the body as it came, in bytes; a chunked body announces none. */
export function getBodyBytes(request: Request): number {
  const {rawBody} = request as {rawBody?: unknown};
  return typeof rawBody === 'string' || Buffer.isBuffer(rawBody)
    ? Buffer.byteLength(rawBody)
    : 0;
}

function refuseOtherBodies(
  request: Request,
  response: Response,
  next: Next,
): void {
  const problem = findProblem(request);
  if (problem === undefined) {
    next();
    return;
  }
  const failure = new Failure('bad-request', {problem});
  response.setHeader('Connection', 'close');
  response.send(failure.status, failure.toJSON());
  next(false);
}

function findProblem(request: Request): string | undefined {
  if (request.headers['content-encoding'] !== undefined) {
    return 'a body must not be compressed';
  }
  const hasBody = request.getContentLength() > 0 || request.isChunked();
  return hasBody && !JSON_TYPE.test(request.getContentType())
    ? 'a body has to be JSON, with the content type application/json'
    : undefined;
}
