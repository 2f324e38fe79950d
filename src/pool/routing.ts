/**
 * Routing of callers' requests by host and path.
 */
import {type RouteRules} from './pool-job.js';

/** A route of the configuration. */
export type Route = {
	readonly host: string;
	/** Path prefix of the requests that belong to the route. */
	readonly prefix: string;
	readonly rules: RouteRules;
};

/** One version of the routes. */
export type RoutingTable = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly maxBodyBytes: number;
	/** Limits of callers' connections that the configuration names. */
	readonly callerLimits?: CallerLimits;
};

/** Limits of callers' connections. */
export type CallerLimits = {
	/** Maximum size of the head of a request in bytes. */
	readonly maxHeaderBytes?: number;
	/** Time limit for receiving the head of a request in milliseconds. */
	readonly headTimeoutMs?: number;
	/** Time after which an idle connection is closed, or a body without progress is given up, in milliseconds. */
	readonly idleTimeoutMs?: number;
};

/**
 * Gets the route of a host with the longest matching path prefix; `undefined` if none matches.
 * @param table - Routes.
 * @param host - Host of the request.
 * @param path - Path of the request.
 */
export function findRoute(table: RoutingTable, host: string, path: string): Route | undefined {
	let longestMatch: Route | undefined;
	for (const route of table.routes) {
		if (route.host === host && path.startsWith(route.prefix) && route.prefix.length > (longestMatch?.prefix.length ?? -1)) {
			longestMatch = route;
		}
	}

	return longestMatch;
}
