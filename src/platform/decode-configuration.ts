/**
 * Decoder of the operator's configuration.
 */
import {type RoutingTable} from '../pool/index.js';
import {describeIssues} from './describe-issues.js';
import {configurationSchema} from './wire-messages.js';

/** A decoded configuration, or the description of its fault. */
export type DecodedConfiguration =
	| {readonly ok: true; readonly table: RoutingTable}
	| {readonly ok: false; readonly detail: string};

/**
 * Decodes a configuration into a routing table.
 * @param text - Stored value.
 */
export function decodeConfiguration(text: string): DecodedConfiguration {
	const parsed = configurationSchema.safeParse(parseJson(text));
	if (!parsed.success) {
		return {ok: false, detail: describeIssues(parsed.error)};
	}

	const {version, routes, limits} = parsed.data;
	return {
		ok: true,
		table: {
			version,
			maxBodyBytes: limits.max_body_bytes,
			callerLimits: {
				maxHeaderBytes: getGiven(limits.max_header_bytes), headTimeoutMs: getGiven(limits.header_timeout_ms), idleTimeoutMs: getGiven(limits.idle_timeout_ms),
			},
			routes: routes.map(route => ({
				host: route.host,
				prefix: route.prefix,
				rules: {
					route: route.name,
					service: route.service,
					priority: route.priority,
					maxAttempts: route.max_attempts,
					stretch: route.stretch,
					slackMs: route.target_runtime_ms,
				},
			})),
		},
	};
}

/** Gets a limit as a whole number; `undefined` if it is not given. */
function getGiven(limit: number | undefined): number | undefined {
	return limit !== undefined && limit > 0 ? Math.ceil(limit) : undefined;
}

/**
 * Parses JSON; returns `undefined` if the text is not valid JSON.
 * @param text - Text.
 */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
