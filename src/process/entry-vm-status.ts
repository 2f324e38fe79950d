/**
 * The status of an entry VM for operators; contains no secrets.
 */
import {
	type Incarnation, type Member, type PeerTraffic, type UpstreamClientStatus,
} from '../connection/index.js';
import {type CallerApiCounters} from './caller-api.js';
import {type ConfigurationFollowerStatus} from './configuration-follower.js';
import {type CoordinatorCounters} from './coordinator.js';
import {type EntryVmComponents, isEntryVmReady} from './entry-vm.js';
import {type JobRouterCounters} from './job-router.js';
import {type SchedulerCounters} from './scheduler/index.js';
import {type SchedulerStatus} from './task-scheduler.js';
import {type VmListFollowerStatus} from './vm-list-follower.js';

/** Status of the job records. */
export type RecordsStatus = {
	readonly period: number;
	readonly oldestPeriod: number;
	readonly records: number;
	readonly answerBytes: number;
	readonly adopted: ReadonlyArray<{readonly coordinatorId: string; readonly records: number}>;
};

/** Status of an entry VM. */
export type EntryVmStatus = {
	readonly incarnation: Incarnation;
	readonly isReady: boolean;
	readonly isStopping: boolean;
	readonly configurationVersion: number;
	readonly configuration: ConfigurationFollowerStatus;
	readonly vmList: VmListFollowerStatus;
	readonly members: readonly Member[];
	readonly peerTraffic: PeerTraffic;
	readonly jobsInProgress: number;
	readonly records: RecordsStatus;
	readonly coordinator: CoordinatorCounters;
	readonly router: JobRouterCounters;
	readonly callers: CallerApiCounters;
	readonly scheduler: SchedulerStatus;
	readonly schedulerCounters: Readonly<SchedulerCounters>;
	readonly upstreams: UpstreamClientStatus;
};

/**
 * Gets the status of an entry VM.
 * @param components - Components of the entry VM.
 */
export function getEntryVmStatus(components: EntryVmComponents): EntryVmStatus {
	const {self, state, configuration, vmList, mesh, runner, coordinator, router, callerApi, scheduler, upstreamClient} = components;
	return {
		incarnation: self,
		isReady: isEntryVmReady(components),
		isStopping: state.isStopping,
		configurationVersion: configuration.getConfiguration().version,
		configuration: configuration.getStatus(),
		vmList: vmList.getStatus(),
		members: mesh.getMembers(),
		peerTraffic: mesh.getTraffic(),
		jobsInProgress: runner.getRunningCount(),
		records: getRecordsStatus(components),
		coordinator: coordinator.getCounters(),
		router: router.getCounters(),
		callers: callerApi.getCounters(),
		scheduler: scheduler.getStatus(),
		schedulerCounters: scheduler.getCounters(),
		upstreams: upstreamClient.getStatus(),
	};
}

function getRecordsStatus({coordinator, directory}: EntryVmComponents): RecordsStatus {
	const records = coordinator.getRecords();
	return {
		period: records.getPeriod(),
		oldestPeriod: records.getOldestPeriod(),
		records: records.getRecordCount(),
		answerBytes: records.getAnswerBytes(),
		adopted: directory.getAdoptedRecords().map(adopted => ({
			coordinatorId: adopted.coordinator.incarnation.id,
			records: adopted.getRecordCount(),
		})),
	};
}
