/** Entry of a target in the platform's registry. */
import * as z from 'zod';

/** Longest id, name or label. */
const MAX_NAME_CHARS = 255;

/** Largest number of labels of a target; usual ones have two. */
const MAX_LABELS = 64;

/**
 * Largest amount of one resource of a target, far beyond that of any machine;
 * sums over all targets stay exact.
 */
const MAX_RESOURCE = 1e9;

/** Largest port number. */
const MAX_PORT = 65_535;

/** Part of an IPv4 address; with a leading zero it would be octal. */
const OCTET = '(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)';
const ADDRESS_PATTERN = new RegExp(
  `^${OCTET}(?:\\.${OCTET}){3}:([1-9]\\d{0,4})$`,
);

/** Printable characters, which can stand in a header, without the separator of incarnation keys. */
const ID_PATTERN = /^[!-?A-~]+$/;

const nameSchema = z.string().min(1).max(MAX_NAME_CHARS);

/** A capacity that shrinks may be fractional; demands are whole. */
const resourceSchema = z
  .number()
  .nonnegative()
  .max(MAX_RESOURCE)
  .transform(Math.floor);

/**
 * Schema of a target as the registry lists it. Anyone may write to the registry,
 * so an entry that does not match names no target.
 */
export const targetInfoSchema = z.object({
  id: nameSchema.regex(ID_PATTERN),
  /**
   * Start time of the incarnation in Unix milliseconds; 0 if the entry has
   * none.
   */
  born: z.number().int().nonnegative(),
  /** IPv4 address and port. */
  address: z.string().refine(isAddress),
  pool: nameSchema,
  domain: nameSchema,
  rack: z.string().max(MAX_NAME_CHARS),
  labels: z.array(z.string().max(MAX_NAME_CHARS)).max(MAX_LABELS),
  capacity: z.object({
    cpu: resourceSchema,
    memoryMb: resourceSchema,
    accelerators: resourceSchema,
  }),
  /** Whether the target takes no new work and is leaving. */
  isDraining: z.boolean(),
  /** Minimum time until a draining target leaves, in milliseconds. */
  remainingMs: z.number().optional(),
});

/** A target as the registry lists it. */
export type TargetInfo = z.infer<typeof targetInfoSchema>;

/** Returns the key of one incarnation of a target: its id and start time. */
export function formatIncarnationKey(id: string, born: number): string {
  return `${id}@${born}`;
}

function isAddress(text: string): boolean {
  const port = ADDRESS_PATTERN.exec(text)?.[1];
  return port !== undefined && Number(port) <= MAX_PORT;
}
