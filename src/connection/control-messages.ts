/**
 * The messages of a control link.
 */
import * as z from 'zod';

const maxTextLength = 128;
const maxReports = 256;
const maxMembers = 4096;
const maxDataCenters = 64;
const text = z.string().max(maxTextLength);
const count = z.int().min(0);

/** Largest claim: the largest double that is a signed 64-bit integer, as peers and stores of other languages may hold it. */
export const maxClaim = (2 ** 63) - 1024;

/** Schema of a claim: the number of an ownership, the highest of which counts. */
export const claimSchema = z.number().min(0).max(maxClaim).refine(value => Number.isInteger(value));

const claimsSchema = z.record(text, claimSchema).readonly().default({});

/** Schema of the status that a process publishes and that seldom changes. */
export const memberStatusSchema = z.object({
	/** Version of the configuration that the process applies. */
	configurationVersion: count,
	/** Whether the process is stopping. */
	isLeaving: z.boolean(),
	/** Fences of what the process owns, by name; opaque to the mesh. */
	claims: claimsSchema,
	/** Cores that the process may use. */
	cores: z.number().positive().default(1),
	/** Evacuated data centres at a revision of the store; absent if none was ever known to be evacuated. */
	evacuation: z.object({revision: count, dataCenters: z.array(text).max(maxDataCenters).readonly()}).readonly().optional(),
}).readonly();

/** Schema of a member in another process's view. */
export const reportedMemberSchema = z.object({
	id: text,
	vm: text,
	address: text,
	state: z.enum(['up', 'silent', 'down']),
	isLeaving: z.boolean(),
	configurationVersion: count,
	claims: claimsSchema,
	cores: z.number().positive().default(1),
}).readonly();

/** Schema of one process's view of its own data centre; the view is absent if unchanged since the last one sent over the link. */
export const reportSchema = z.object({
	reporter: text,
	/** Increases with each heartbeat of the reporter. */
	beat: count,
	view: z.object({
		dataCenter: text,
		members: z.array(reportedMemberSchema).max(maxMembers).readonly(),
	}).readonly().optional(),
}).readonly();

/** Schema of an address at which an entry VM was seen. */
export const knownAddressSchema = z.object({
	dataCenter: text, vm: text, id: text, address: text,
}).readonly();

/** Schema of the first message of each side of a link. */
export const startSchema = z.object({
	type: z.literal('start'),
	/** Number of the last control message received over earlier links. */
	received: count,
	addresses: z.array(knownAddressSchema).max(maxMembers).readonly(),
}).readonly();

/** Schema of a heartbeat. */
export const heartbeatSchema = z.object({
	type: z.literal('beat'),
	logicalTime: count,
	/** Number of the last control message received. */
	received: count,
	/** Time until the next heartbeat over this link, in milliseconds; absent for the default interval. */
	nextMs: z.number().positive().optional(),
	/** Absent if unchanged since the last one sent over this link. */
	status: memberStatusSchema.optional(),
	/** Absent if unchanged since the last one sent over this link. */
	load: z.unknown().optional(),
	reports: z.array(reportSchema).max(maxReports).readonly().optional(),
	/** What the sender passes on within its data centre, by name; opaque to the mesh, and ignored by versions that do not know it. */
	relayed: z.unknown().optional(),
}).readonly();

/** Schema of a message from one component of the process to its counterpart in the other. */
export const dataSchema = z.object({
	type: z.literal('data'),
	number: count,
	logicalTime: count,
	topic: text,
	body: z.unknown(),
}).readonly();

/** Schema of the acknowledgement of control messages, sent when many were received since the last heartbeat. */
export const ackSchema = z.object({type: z.literal('ack'), received: count}).readonly();

/** Schema of the announcement that the process ends. */
export const byeSchema = z.object({type: z.literal('bye')}).readonly();

/** Schema of any message of a control link. */
export const controlLinkMessageSchema = z.discriminatedUnion('type', [startSchema, heartbeatSchema, dataSchema, ackSchema, byeSchema]);

/** Status that a process publishes and that seldom changes. */
export type MemberStatus = z.infer<typeof memberStatusSchema>;

/** Status and load that a process publishes with each heartbeat; without claims it owns nothing. */
export type HeartbeatBody = z.input<typeof memberStatusSchema> & {
	/** Further state for the other end; opaque to the mesh. */
	readonly load: unknown;
};

/** Status and load received from a peer, with defaults for absent fields. */
export type ReceivedHeartbeat = MemberStatus & Pick<HeartbeatBody, 'load'>;

/** A member in another process's view. */
export type ReportedMember = z.infer<typeof reportedMemberSchema>;

/** One process's view of its own data centre. */
export type Report = z.infer<typeof reportSchema>;

/** A process's view of its own data centre; the same object while it is unchanged. */
export type DataCenterView = Exclude<Report['view'], undefined>;

/** An address at which an entry VM was seen. */
export type KnownAddress = z.infer<typeof knownAddressSchema>;

/** First message of each side of a link. */
export type Start = z.infer<typeof startSchema>;

/** A heartbeat. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** A message from one component of the process to its counterpart in the other. */
export type Data = z.infer<typeof dataSchema>;

const heartbeatKeys: ReadonlySet<string> = new Set(['type', 'logicalTime', 'received', 'nextMs', 'status', 'load', 'reports', 'relayed']);
const reportKeys: ReadonlySet<string> = new Set(['reporter', 'beat', 'view']);

/**
 * Decodes a heartbeat without the schema, for speed, since most messages of a control link are heartbeats; returns `undefined` for another
 * message, and for a heartbeat that omits a field with a default.
 * @param value - Decoded value.
 */
export function decodeCompleteHeartbeat(value: unknown): Heartbeat | undefined {
	if (!isObject(value)) {
		return undefined;
	}

	const {type, logicalTime, received, nextMs, reports, status} = value;
	const isHeartbeat = type === 'beat' && isCount(logicalTime) && isCount(received) && hasOnlyKeys(value, heartbeatKeys);
	if (!isHeartbeat || !isOptional(nextMs, isPositive) || !isOptional(status, isStatus) || !isOptional(reports, isReports)) {
		return undefined;
	}

	return value as Heartbeat;
}

function isReports(value: unknown): boolean {
	return Array.isArray(value) && value.length <= maxReports && value.every((report: unknown) => {
		if (!isObject(report)) {
			return false;
		}

		const {reporter, beat, view} = report;
		return isText(reporter) && isCount(beat) && isOptional(view, isView) && hasOnlyKeys(report, reportKeys);
	});
}

function isView(value: unknown): boolean {
	if (!isObject(value)) {
		return false;
	}

	const {dataCenter, members, ...rest} = value;
	return isText(dataCenter) && Array.isArray(members) && members.length <= maxMembers && members.every(member => isReportedMember(member)) && hasNoKeys(rest);
}

function isReportedMember(value: unknown): boolean {
	if (!isObject(value)) {
		return false;
	}

	const {id, vm, address, state, evacuation, ...status} = value;
	// Only heartbeats of the process itself carry it.
	return evacuation === undefined && isText(id) && isText(vm) && isText(address) && (state === 'up' || state === 'silent' || state === 'down') && isStatus(status);
}

function isStatus(value: unknown): boolean {
	if (!isObject(value)) {
		return false;
	}

	const {configurationVersion, isLeaving, claims, cores, evacuation, ...rest} = value;
	return isCount(configurationVersion) && typeof isLeaving === 'boolean' && isPositive(cores) && isClaims(claims) && isOptional(evacuation, isEvacuation) && hasNoKeys(rest);
}

function isEvacuation(value: unknown): boolean {
	if (!isObject(value)) {
		return false;
	}

	const {revision, dataCenters, ...rest} = value;
	return isCount(revision) && Array.isArray(dataCenters) && dataCenters.length <= maxDataCenters && dataCenters.every(name => isText(name)) && hasNoKeys(rest);
}

function isClaims(value: unknown): boolean {
	return isObject(value) && Object.entries(value).every(([name, claim]) => isText(name) && isClaim(claim));
}

/**
 * Decodes a message from one component of the process to its counterpart in the other. Does not use the schema, for speed, since owners of
 * pools send hundreds a second; returns `undefined` for another message.
 * @param value - Decoded value.
 */
export function decodeData(value: unknown): Data | undefined {
	if (!isObject(value) || !('body' in value)) {
		return undefined;
	}

	const {type, number, logicalTime, topic, body} = value;
	const isData = type === 'data' && isCount(number) && isCount(logicalTime) && isText(topic);
	return isData
		? {
			type, number, logicalTime, topic, body,
		}
		: undefined;
}

/**
 * Gets whether a value is a claim.
 * @param value - Value of a message.
 */
export function isClaim(value: unknown): value is number {
	return Number.isInteger(value) && (value as number) >= 0 && (value as number) <= maxClaim;
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function hasNoKeys(rest: Readonly<Record<string, unknown>>): boolean {
	return Object.keys(rest).length === 0;
}

function hasOnlyKeys(value: Readonly<Record<string, unknown>>, keys: ReadonlySet<string>): boolean {
	return Object.keys(value).every(key => keys.has(key));
}

function isOptional(value: unknown, isValid: (value: unknown) => boolean): boolean {
	return value === undefined || isValid(value);
}

function isText(value: unknown): value is string {
	return typeof value === 'string' && value.length <= maxTextLength;
}

function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isPositive(value: unknown): value is number {
	return typeof value === 'number' && value > 0 && Number.isFinite(value);
}

/** Any message of a control link. */
export type ControlLinkMessage = z.infer<typeof controlLinkMessageSchema>;
