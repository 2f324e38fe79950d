/**
 * Names of coordinators and jobs as callers see them.
 */
import {type Incarnation} from '../connection/peer-network.js';

/** One period of a coordinator: `<data centre>.<vm>.<incarnation>.<period>`; opaque to callers. */
export type CoordinatorToken = {
	readonly dataCenter: string;
	readonly vm: string;
	readonly incarnationId: string;
	/** Rises with time at the coordinator; bounds how long a record is kept. */
	readonly period: number;
};

/** Name of a job: the coordinator that keeps its record, and the caller's own key. */
export type JobId = {
	readonly coordinator: CoordinatorToken;
	readonly key: string;
};

const tokenPattern = /^(?<dataCenter>[a-z\d][a-z\d\-]{0,62})\.(?<vm>[a-z\d][a-z\d\-]{0,62})\.(?<incarnationId>[a-z\d][a-z\d\-]{0,95})\.(?<period>[1-9]\d{0,14})$/v;
const keyPattern = /^[A-Za-z\d._~\-]{1,128}$/v;

/**
 * Gets the text of a token.
 * @param token - Token to write.
 */
export function formatCoordinatorToken(token: CoordinatorToken): string {
	return `${token.dataCenter}.${token.vm}.${token.incarnationId}.${token.period}`;
}

/**
 * Gets the token of an incarnation at a period.
 * @param incarnation - Coordinator.
 * @param period - Period of the coordinator.
 */
export function createCoordinatorToken(incarnation: Incarnation, period: number): CoordinatorToken {
	return {
		dataCenter: incarnation.dataCenter, vm: incarnation.vm, incarnationId: incarnation.id, period,
	};
}

/**
 * Reads a token; `undefined` when the text is none.
 * @param text - Text from a caller.
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
 * Gets the text of a job id.
 * @param id - Job id to write.
 */
export function formatJobId(id: JobId): string {
	return `${formatCoordinatorToken(id.coordinator)}/${id.key}`;
}

/**
 * Reads a job id `{coordinator}/{key}`; `undefined` when the text is none.
 * @param text - Text from a caller.
 */
export function parseJobId(text: string): JobId | undefined {
	const slash = text.indexOf('/');
	if (slash === -1) {
		return undefined;
	}

	const coordinator = parseCoordinatorToken(text.slice(0, slash));
	const key = text.slice(slash + 1);
	if (coordinator === undefined || !keyPattern.test(key)) {
		return undefined;
	}

	return {coordinator, key};
}
