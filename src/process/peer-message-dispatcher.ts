/**
 * Gives what peers send to the part of this process that it is for.
 */
import {type ControlMessage, type Incarnation, type PeerRequest} from '../connection/index.js';

/** Takes a control message's body from a peer. */
export type TopicControlHandler = (message: ControlMessage, from: Incarnation) => void;

/** Answers a request's body from a peer. */
export type TopicRequestHandler = (request: PeerRequest, signal: AbortSignal, from: Incarnation) => unknown;

/** Handlers of control messages and requests by topic. */
export class PeerMessageDispatcher {
	readonly #controlHandlers = new Map<string, TopicControlHandler>();
	readonly #requestHandlers = new Map<string, TopicRequestHandler>();
	#unknownTopics = 0;

	/** Gets the number of messages whose topic nobody takes. */
	getUnknownTopicCount(): number {
		return this.#unknownTopics;
	}

	/**
	 * Adds the handler of a topic of control messages.
	 * @param topic - Topic.
	 * @param handler - Takes the messages.
	 */
	addControlHandler(topic: string, handler: TopicControlHandler): void {
		this.#controlHandlers.set(topic, handler);
	}

	/**
	 * Adds the handler of a topic of requests.
	 * @param topic - Topic.
	 * @param handler - Answers the requests.
	 */
	addRequestHandler(topic: string, handler: TopicRequestHandler): void {
		this.#requestHandlers.set(topic, handler);
	}

	/**
	 * Takes a control message.
	 * @param message - Message.
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
	 * Answers a request; with an empty answer when nobody takes its topic.
	 * @param request - Request.
	 * @param from - Peer that sent it.
	 * @param signal - Tells that the peer does not wait any more.
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
