/**
 * Dispatches messages and requests from peers to the handlers of their topics.
 */
import {type ControlMessage, type Incarnation, type PeerRequest} from '../connection/index.js';

/** Handles a control message from a peer. */
export type TopicControlHandler = (message: ControlMessage, from: Incarnation) => void;

/** Handles a request from a peer and returns the body of the answer; the signal aborts when the peer stops waiting. */
export type TopicRequestHandler = (request: PeerRequest, signal: AbortSignal, from: Incarnation) => unknown;

/** Dispatches control messages and requests by topic. */
export class PeerMessageDispatcher {
	readonly #controlHandlers = new Map<string, TopicControlHandler>();
	readonly #requestHandlers = new Map<string, TopicRequestHandler>();
	#unknownTopics = 0;

	/** Gets the number of messages and requests whose topic has no handler. */
	getUnknownTopicCount(): number {
		return this.#unknownTopics;
	}

	/**
	 * Sets the handler of control messages with a topic.
	 * @param topic - Topic of the messages.
	 * @param handler - Handler of the messages.
	 */
	addControlHandler(topic: string, handler: TopicControlHandler): void {
		this.#controlHandlers.set(topic, handler);
	}

	/**
	 * Sets the handler of requests with a topic.
	 * @param topic - Topic of the requests.
	 * @param handler - Handler of the requests.
	 */
	addRequestHandler(topic: string, handler: TopicRequestHandler): void {
		this.#requestHandlers.set(topic, handler);
	}

	/**
	 * Dispatches a control message.
	 * @param message - Control message.
	 * @param from - Peer that sent it.
	 */
	handleControl(message: ControlMessage, from: Incarnation): void {
		const handler = this.#controlHandlers.get(message.topic);
		if (handler === undefined) {
			this.#unknownTopics++;
			return;
		}

		handler(message, from);
	}

	/**
	 * Dispatches a request.
	 * @param request - Request.
	 * @param from - Peer that sent it.
	 * @param signal - Aborts when the peer stops waiting.
	 * @returns The body of the answer; empty when the topic has no handler.
	 */
	async handleRequest(request: PeerRequest, from: Incarnation, signal: AbortSignal): Promise<unknown> {
		const handler = this.#requestHandlers.get(request.topic);
		if (handler === undefined) {
			this.#unknownTopics++;
			return {};
		}

		return handler(request, signal, from);
	}
}
