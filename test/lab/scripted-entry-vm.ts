/**
 * A stand-in for an entry VM that answers submissions with a function of the test.
 */
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';

/** A received submission. */
export type ReceivedSubmission = {
	readonly url: string;
	readonly attempt: string;
	readonly body: string;
};

/** Starts a server whose coordinator token and answers are provided by functions. */
export async function startScriptedEntryVm(token: () => string, answer: (submission: ReceivedSubmission, res: ServerResponse) => void) {
	const submissions: ReceivedSubmission[] = [];
	const server = createServer(async (req, res) => {
		res.setHeader('endivemill-coordinator', token());
		if (req.url === '/v1/coordinator') {
			res.end(JSON.stringify({coordinator: token()}));
			return;
		}

		const submission = {url: req.url ?? '', attempt: String(req.headers['endivemill-attempt'] ?? '1'), body: await text(req)};
		submissions.push(submission);
		answer(submission, res);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return {
		submissions,
		address: `127.0.0.1:${port}`,
		async close() {
			server.closeAllConnections();
			server.close();
			await once(server, 'close');
		},
	};
}

/** Sends a complete answer with the bodies of the tasks. */
export function sendCompleteAnswer(res: ServerResponse, bodies: readonly string[]): void {
	res.end(JSON.stringify({outcome: 'complete', id: 'x', tasks: bodies.map(body => ({status: 200, headers: {}, body}))}));
}

/** Sends a problem. */
export function sendProblem(res: ServerResponse, status: number, outcome: string, retryAfter?: string): void {
	res.statusCode = status;
	res.setHeader('content-type', 'application/problem+json');
	if (retryAfter !== undefined) {
		res.setHeader('retry-after', retryAfter);
	}

	res.end(JSON.stringify({type: 'urn:test:problem', outcome, detail: 'scripted'}));
}
