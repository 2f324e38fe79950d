/**
 * The messages of a job connection, validated without a schema since this is on the path of each request.
 */
import {decodeValue} from './frame-codec.js';

/** Requests that are made for other processes: identifier, and age of the last confirmation of that process in milliseconds. */
export type ConfirmationAges = ReadonlyArray<readonly [id: number, ageMs: number]>;

/** First part of a request; `size` is that of the whole encoded body, in bytes. */
export type JobRequest = {
	readonly type: 'request';
	readonly id: number;
	readonly logicalTime: number;
	readonly topic: string;
	/** Last stamp that the sender has received, 0 for none; `undefined` if its version echoes none. */
	readonly echo?: number;
	/** Age of the last confirmation of the process for which the request is made, in milliseconds; absent if it is made for the sender itself. */
	readonly ageMs?: number;
	readonly size: number;
	readonly part: Uint8Array;
};

/** First part of an answer; `size` is that of the whole encoded body, in bytes. */
export type JobAnswer = {
	readonly type: 'answer';
	readonly id: number;
	readonly logicalTime: number;
	/** Monotonic time in milliseconds at which it is sent, as in a keep-alive; `undefined` if the version of the receiver of requests sends none. */
	readonly stamp?: number;
	readonly size: number;
	readonly part: Uint8Array;
};

/** A further part of a body. */
export type JobPart = {
	readonly type: 'part';
	readonly id: number;
	readonly part: Uint8Array;
};

/** Ends a request without an answer. */
export type JobFailure = {
	readonly type: 'failure';
	readonly id: number;
	readonly detail: string;
};

/** Cancels a request; its answer is no longer awaited. */
export type JobCancel = {
	readonly type: 'cancel';
	readonly id: number;
};

/** Sign of life of either end. */
export type JobKeepAlive = {
	readonly type: 'keep-alive';
	/** Monotonic time in milliseconds at which the receiver of requests sends it. */
	readonly stamp?: number;
	/** Whether the sender of requests echoes the stamp immediately and not with its next keep-alive. */
	readonly isUrgent?: boolean;
	/** Last stamp that the sender of requests has received. */
	readonly echo?: number;
	/** Ages for all requests in progress that are made for other processes, with an echo. */
	readonly ages?: ConfirmationAges;
};

/** Any message of a job connection. */
export type JobMessage = JobRequest | JobAnswer | JobPart | JobFailure | JobCancel | JobKeepAlive;

const maxTopicLength = 128;

/**
 * Decodes a message; returns `undefined` if it is invalid.
 * @param payload - Payload of a frame.
 */
export function decodeJobMessage(payload: Uint8Array): JobMessage | undefined {
	const decoded = decodeValue(payload);
	if (!decoded.ok || typeof decoded.value !== 'object' || decoded.value === null) {
		return undefined;
	}

	const message = decoded.value as Readonly<Record<string, unknown>>;
	return isJobMessage(message) ? message as JobMessage : undefined;
}

function isJobMessage(message: Readonly<Record<string, unknown>>): boolean {
	switch (message.type) {
		case 'request': {
			return isCount(message.id) && hasBody(message) && typeof message.topic === 'string' && message.topic.length <= maxTopicLength
				&& isOptionalTime(message.echo) && isOptionalTime(message.ageMs);
		}

		case 'answer': {
			return isCount(message.id) && hasBody(message) && isOptionalTime(message.stamp);
		}

		case 'part': {
			return isCount(message.id) && message.part instanceof Uint8Array;
		}

		case 'failure': {
			return isCount(message.id) && typeof message.detail === 'string';
		}

		case 'cancel': {
			return isCount(message.id);
		}

		case 'keep-alive': {
			return isOptionalTime(message.stamp) && isOptionalTime(message.echo) && areOptionalAges(message.ages);
		}

		default: {
			return false;
		}
	}
}

function hasBody({logicalTime, size, part}: Readonly<Record<string, unknown>>): boolean {
	return isCount(logicalTime) && isCount(size) && part instanceof Uint8Array && part.length <= size;
}

function areOptionalAges(value: unknown): boolean {
	return value === undefined || (Array.isArray(value) && value.every((entry: unknown) => Array.isArray(entry) && isCount(entry[0]) && entry[1] !== undefined && isOptionalTime(entry[1])));
}

function isOptionalTime(value: unknown): boolean {
	return value === undefined || (Number.isFinite(value) && (value as number) >= 0);
}

function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}
