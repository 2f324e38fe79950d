/**
 * The messages of a handshake.
 */
import * as z from 'zod';
import {type LinkFault} from './traffic.js';

/** Version of the protocol between entry VMs. */
export const protocolVersion = 1;

/** Purpose of a connection. */
export type ConnectionKind = 'control' | 'job';

/** Size of a challenge in bytes. */
export const challengeBytes = 32;

const macBytes = 32;
const shortText = z.string().min(1).max(128);

function bytesOfLength(length: number): z.ZodType<Uint8Array> {
	return z.instanceof(Uint8Array).refine(bytes => bytes.length === length);
}

/** Schema of the first message of each side. */
export const helloSchema = z.object({
	type: z.literal('hello'),
	protocol: z.int(),
	deployment: z.string().max(128),
	kind: z.enum(['control', 'job']),
	dataCenter: shortText,
	vm: shortText,
	id: shortText,
	address: shortText,
	challenge: bytesOfLength(challengeBytes),
}).readonly();

/** Schema of the message that proves possession of the key. */
export const proofSchema = z.object({
	type: z.literal('proof'),
	mac: bytesOfLength(macBytes),
	/** Identifier of the last link to the other incarnation that this side has closed; empty for none. */
	lastLinkId: z.string().max(128),
}).readonly();

/** Reasons for which a side rejects a connection in its handshake. */
export const rejectReasons = ['wrong-protocol', 'wrong-deployment', 'wrong-key', 'self', 'duplicate', 'wrong-incarnation'] as const satisfies ReadonlyArray<LinkFault | 'self' | 'duplicate'>;

/** Schema of the message that rejects a connection. */
export const rejectSchema = z.object({
	type: z.literal('reject'),
	reason: z.enum(rejectReasons),
}).readonly();

/** Schema of any message of a handshake. */
export const handshakeMessageSchema = z.discriminatedUnion('type', [helloSchema, proofSchema, rejectSchema]);

/** First message of each side. */
export type Hello = z.infer<typeof helloSchema>;

/** Message that proves possession of the key. */
export type Proof = z.infer<typeof proofSchema>;

/** Reason for which a side rejects a connection. */
export type RejectReason = (typeof rejectReasons)[number];

/** Any message of a handshake. */
export type HandshakeMessage = z.infer<typeof handshakeMessageSchema>;
