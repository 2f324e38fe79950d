/**
 * Converts the daemon's settings to the options of an entry VM.
 */
import type Logger from 'bunyan';
import {type Platform} from '../platform/index.js';
import {type EntryVmOptions, type EntryVmTls} from '../process/index.js';
import {type Settings} from './settings.js';

const millisecondsPerSecond = 1000;

/**
 * Gets the options of the entry VM that a daemon runs.
 * @param settings - Settings of the daemon.
 * @param platform - Platform that the entry VM uses.
 * @param log - Logger of the daemon.
 * @param tls - TLS stores of the listeners; a listener without one uses plain TCP.
 */
export function getEntryVmOptions(settings: Settings, platform: Platform, log: Logger, tls: EntryVmTls = {}): EntryVmOptions {
	return {
		log,
		platform,
		tls,
		deployment: settings.deployment,
		dataCenter: settings.dataCenter,
		vm: settings.vm,
		callerAddress: settings.callerAddress,
		operatorAddress: settings.operatorAddress,
		peerAddress: settings.peerAddress,
		peerKey: settings.peerKey,
		peerSeeds: settings.peerSeeds,
		operatorToken: settings.operatorToken,
		periodMs: settings.periodSeconds * millisecondsPerSecond,
		drainMs: settings.drainMs,
		stopTimeoutMs: settings.stopTimeoutMs,
		upstreams: {connectTimeoutMs: settings.connectTimeoutMs},
		limits: {
			maxBodyBytes: settings.maxBodyBytes,
			maxJobsInFlight: settings.maxJobsInFlight,
			maxHeldBytes: settings.maxHeldBytes,
			maxAnswerBytes: settings.maxAnswerBytes,
			maxJobAnswerBytes: settings.maxJobAnswerBytes,
			maxEvents: settings.maxEvents,
			records: {
				periodsKept: settings.periodsKept,
				maxRecordsPerPeriod: settings.maxRecordsPerPeriod,
				maxAnswerBytes: settings.maxKeptAnswerBytes,
			},
			http: {
				maxConnections: settings.maxConnections,
				maxHeaderBytes: settings.maxHeaderBytes,
				headTimeoutMs: settings.headTimeoutMs,
				requestTimeoutMs: settings.bodyTimeoutMs,
				idleTimeoutMs: settings.idleCallerMs,
			},
		},
	};
}
