/**
 * Small HTTP helpers of the stand-ins.
 */

/** Opens a server at a free port of a loopback address; gets its address as `IP:port`. */
export async function listen(server, host, port = 0) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port}, () => {
			server.off('error', reject);
			resolve();
		});
	});
	return `${host}:${server.address().port}`;
}

/** Reads a JSON body; an empty object if it is missing or incomplete. */
export async function readJson(req) {
	let text = '';
	req.setEncoding('utf8');
	try {
		for await (const chunk of req) {
			text += chunk;
		}

		return JSON.parse(text);
	} catch {
		return {};
	}
}

/** Sends an answer with a JSON body, or an empty one. */
export function sendJson(res, status, body) {
	if (res.destroyed) {
		return;
	}

	res.writeHead(status, {'content-type': 'application/json'});
	res.end(body === undefined ? '' : JSON.stringify(body));
}
