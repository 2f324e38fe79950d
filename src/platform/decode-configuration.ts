/**
 * The operator's configuration as routes.
 */
import {type RoutingTable} from '../pool/index.js';
import {configurationSchema} from './wire-messages.js';

/** A decoded configuration, or what is wrong with it. */
export type DecodedConfiguration =
	| {readonly ok: true; readonly table: RoutingTable}
	| {readonly ok: false; readonly detail: string};

/**
 * Decodes a configuration.
 * @param text - Stored value.
 */
export function decodeConfiguration(text: string): DecodedConfiguration {
	const parsed = configurationSchema.safeParse(parseJson(text));
	if (!parsed.success) {
		return {ok: false, detail: parsed.error.message};
	}

	const {version, routes, limits} = parsed.data;
	return {
		ok: true,
		table: {
			version,
			maxBodyBytes: limits.max_body_bytes,
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

/**
 * Parses JSON; `undefined` where the text is none.
 * @param text - Text.
 */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
