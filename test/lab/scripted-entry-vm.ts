/**
 * An entry VM that answers each submission as a test says.
 */
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';

/** A submission as it arrived. */
export type SeenSubmission = {
	readonly url: string;
	readonly attempt: string;
	readonly body: string;
};

/** Starts an entry VM whose coordinator token and answers are given by functions. */
export async function startScriptedEntryVm(token: () => string, answer: (seen: SeenSubmission, res: ServerResponse) => void) {
	const seen: SeenSubmission[] = [];
	const server = createServer(async (req, res) => {
		res.setHeader('endivemill-coordinator', token());
		if (req.url === '/v1/coordinator') {
			res.end(JSON.stringify({coordinator: token()}));
			return;
		}

		const submission = {url: req.url ?? '', attempt: String(req.headers['endivemill-attempt'] ?? '1'), body: await text(req)};
		seen.push(submission);
		answer(submission, res);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return {
		seen,
		address: `127.0.0.1:${port}`,
		async close() {
			server.closeAllConnections();
			server.close();
			await once(server, 'close');
		},
	};
}

/** Answers with the tasks' numbers. */
export function sendComplete(res: ServerResponse, bodies: readonly string[]): void {
	res.end(JSON.stringify({outcome: 'complete', id: 'x', tasks: bodies.map(body => ({status: 200, headers: {}, body}))}));
}

/** Answers with a problem. */
export function sendProblem(res: ServerResponse, status: number, outcome: string, retryAfter?: string): void {
	res.statusCode = status;
	res.setHeader('content-type', 'application/problem+json');
	if (retryAfter !== undefined) {
		res.setHeader('retry-after', retryAfter);
	}

	res.end(JSON.stringify({type: 'urn:test:problem', outcome, detail: 'scripted'}));
}
