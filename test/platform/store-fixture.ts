/**
 * A store client over a fake HTTP client, whose answers are given by a function.
 */
import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';
import {StoreClient} from '../../src/platform/store-client.js';
import {type Clock} from '../../src/seams/index.js';

/** Item as the store sends it; fields whose value is 0 or empty may be omitted. */
export type WireItem = Readonly<Record<string, unknown>> & {readonly key: string};

type Answer = {readonly status?: number; readonly body: unknown};

/**
 * Creates a store client.
 * @param clock - Clock of its time limits.
 * @param getAnswer - Gets the answer to a call by its URL.
 */
export function createFakeStoreClient(clock: Clock, getAnswer: (url: URL, body: unknown) => Answer): StoreClient {
	const dispatch: Dispatcher['dispatch'] = ({path, body}, handler) => {
		const answer = getAnswer(new URL(path, 'http://store'), typeof body === 'string' ? JSON.parse(body) : undefined);
		const controller = {} as Dispatcher.DispatchController; // eslint-disable-line @typescript-eslint/consistent-type-assertions
		handler.onResponseStart?.(controller, answer.status ?? 200, {});
		handler.onResponseData?.(controller, Buffer.from(JSON.stringify(answer.body)));
		handler.onResponseEnd?.(controller, {});
		return true;
	};

	return new StoreClient({address: '127.0.0.1:1', clock, dispatcher: {dispatch} as Dispatcher}); // eslint-disable-line @typescript-eslint/consistent-type-assertions
}

/**
 * Creates an item of the store.
 * @param key - Key.
 * @param text - Value.
 * @param revision - Revision of its last change.
 */
export function createWireItem(key: string, text: string, revision = 1): WireItem {
	return {
		key, value: Buffer.from(text).toString('base64'), revision, created: 1,
	};
}
