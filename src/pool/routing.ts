/**
 * Which route a caller's request takes.
 */
import {type RouteRules} from './pool-job.js';

/** A route of the configuration. */
export type Route = {
	readonly host: string;
	/** Beginning of the paths that belong to the route. */
	readonly prefix: string;
	readonly rules: RouteRules;
};

/** One version of the routes. */
export type RoutingTable = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly maxBodyBytes: number;
};

/**
 * Gets the route with the longest prefix of a path.
 * @param table - Routes.
 * @param host - Host that the caller named.
 * @param path - Path.
 */
export function findRoute(table: RoutingTable, host: string, path: string): Route | undefined {
	let found: Route | undefined;
	for (const route of table.routes) {
		if (route.host === host && path.startsWith(route.prefix) && route.prefix.length > (found?.prefix.length ?? -1)) {
			found = route;
		}
	}

	return found;
}
