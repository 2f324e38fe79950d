/**
 * Public identifiers of coordinators and jobs.
 */
import {type Incarnation} from '../connection/peer-network.js';

/** One period of a coordinator: `<data centre>.<vm>.<incarnation>.<period>`; opaque to callers. */
export type CoordinatorToken = {
	readonly dataCenter: string;
	readonly vm: string;
	readonly incarnationId: string;
	/** Number of the coordinator's period, increasing over time; job records are kept for a limited number of periods. */
	readonly period: number;
};

/** Identifier of a job: the coordinator that keeps its record, and the key chosen by the caller. */
export type JobId = {
	readonly coordinator: CoordinatorToken;
	readonly key: string;
};

const tokenPattern = /^(?<dataCenter>[a-z\d][a-z\d\-]{0,62})\.(?<vm>[a-z\d][a-z\d\-]{0,62})\.(?<incarnationId>[a-z\d][a-z\d\-]{0,95})\.(?<period>[1-9]\d{0,14})$/v;
const keyPattern = /^[A-Za-z\d._~\-]{1,128}$/v;

/**
 * Formats a coordinator token.
 * @param token - Token to format.
 */
export function formatCoordinatorToken(token: CoordinatorToken): string {
	return `${token.dataCenter}.${token.vm}.${token.incarnationId}.${token.period}`;
}

/**
 * Creates the token of a coordinator for one of its periods.
 * @param incarnation - Incarnation of the coordinator.
 * @param period - Period of the coordinator.
 */
export function createCoordinatorToken(incarnation: Incarnation, period: number): CoordinatorToken {
	return {
		dataCenter: incarnation.dataCenter, vm: incarnation.vm, incarnationId: incarnation.id, period,
	};
}

/**
 * Parses a coordinator token; `undefined` when the text is not a valid one.
 * @param text - Text received from a caller.
 */
export function parseCoordinatorToken(text: string): CoordinatorToken | undefined {
	const groups = tokenPattern.exec(text)?.groups;
	if (groups === undefined) {
		return undefined;
	}

	return {
		dataCenter: groups.dataCenter!,
		vm: groups.vm!,
		incarnationId: groups.incarnationId!,
		period: Number(groups.period),
	};
}

/**
 * Formats a job id as `{coordinator}/{key}`.
 * @param id - Job id to format.
 */
export function formatJobId(id: JobId): string {
	return `${formatCoordinatorToken(id.coordinator)}/${id.key}`;
}

/**
 * Parses a job id of the form `{coordinator}/{key}`; `undefined` when the text is not a valid one.
 * @param text - Text received from a caller.
 */
export function parseJobId(text: string): JobId | undefined {
	const separator = text.indexOf('/');
	if (separator === -1) {
		return undefined;
	}

	const coordinator = parseCoordinatorToken(text.slice(0, separator));
	const key = text.slice(separator + 1);
	if (coordinator === undefined || !keyPattern.test(key)) {
		return undefined;
	}

	return {coordinator, key};
}
