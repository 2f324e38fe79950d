/**
 * The reports of processes in other data centres about their own data centre, and the report of this process.
 */
import {isDeepStrictEqual} from 'node:util';
import {type Clock} from '../seams/index.js';
import {type CompleteReport} from './control-link.js';
import {type DataCenterView, type MemberStatus, type ReportedMember} from './control-messages.js';
import {type MemberTable} from './member-table.js';
import {type Incarnation, type MemberState} from './peer-network.js';

/** Options of a {@link ReportTable}. */
export type ReportTableOptions = {
	readonly clock: Clock;
	readonly self: Incarnation;
	/** Gets the address that this process advertises. */
	readonly getAddress: () => string;
	readonly table: MemberTable;
	/** Time after which a report that was not renewed is ignored, in milliseconds. */
	readonly maxAgeMs: number;
};

type ReceivedReport = {
	readonly report: CompleteReport;
	readonly receivedAt: number;
};

/**
 * Stores the latest report of each reporter of another data centre and creates this process's own report.
 * @internal
 */
export class ReportTable {
	readonly #options: ReportTableOptions;
	readonly #reports = new Map<string, ReceivedReport>();
	#ownView: DataCenterView;
	/** Inputs from which the own view was last created. */
	#ownRevision = -1;
	#ownStatus: MemberStatus | undefined;
	/** View last reported within the data centre. */
	#localView: DataCenterView;
	#localKey = '';

	constructor(options: ReportTableOptions) {
		this.#options = options;
		this.#ownView = {dataCenter: options.self.dataCenter, members: []};
		this.#localView = this.#ownView;
	}

	/**
	 * Gets this process's report about its own data centre; its view is the same object until it changes.
	 * @param beat - Number of the heartbeat.
	 * @param ownStatus - Status of this process; another object after each change.
	 */
	getOwnReport(beat: number, ownStatus: MemberStatus): CompleteReport {
		const {self, table} = this.#options;
		const revision = table.getRevision();
		if (revision !== this.#ownRevision || ownStatus !== this.#ownStatus) {
			this.#ownRevision = revision;
			this.#ownStatus = ownStatus;
			const members = this.#createOwnMembers(ownStatus);
			this.#ownView = isDeepStrictEqual(members, this.#ownView.members) ? this.#ownView : {dataCenter: self.dataCenter, members};
		}

		return {reporter: self.id, beat, view: this.#ownView};
	}

	/**
	 * Gets the report for the members of this data centre. It lets them discover the VMs that are up; the rest they receive from each VM
	 * itself. So its view changes only with the set of VMs that are up and their addresses.
	 * @param ownReport - This process's report about its own data centre.
	 */
	getLocalReport(ownReport: CompleteReport): CompleteReport {
		if (ownReport.view !== this.#localView) {
			const key = ownReport.view.members.filter(({state}) => state === 'up').map(({id, address}) => `${id} ${address}`).toSorted().join(',');
			this.#localView = key === this.#localKey ? this.#localView : ownReport.view;
			this.#localKey = key;
		}

		return {...ownReport, view: this.#localView};
	}

	/** Gets the stored reports. */
	getReports(): readonly CompleteReport[] {
		return [...this.#reports.values()].map(({report}) => report);
	}

	/**
	 * Gets the best state of an incarnation in the stored reports; `undefined` when none contains it.
	 * @param id - Identifier of the incarnation.
	 */
	getReportedState(id: string): MemberState | undefined {
		const states = new Set(this.getReports().flatMap(({view}) => view.members.filter(member => member.id === id).map(({state}) => state)));
		return (['up', 'silent', 'down'] as const).find(state => states.has(state));
	}

	/**
	 * Adds a report; returns false when it is no newer than the stored one.
	 * @param report - Report to add.
	 */
	addReport(report: CompleteReport): boolean {
		const previous = this.#reports.get(report.reporter);
		if (previous && previous.report.beat >= report.beat) {
			return false;
		}

		this.#reports.set(report.reporter, {report, receivedAt: this.#options.clock.getMonotonicTime()});
		return true;
	}

	/** Resets the age of all reports, after a pause of this process. */
	refresh(): void {
		const receivedAt = this.#options.clock.getMonotonicTime();
		for (const [reporter, {report}] of this.#reports) {
			this.#reports.set(reporter, {report, receivedAt});
		}
	}

	/**
	 * Removes the report of a reporter that is down.
	 * @param reporter - Identifier of the reporter's incarnation.
	 */
	removeReport(reporter: string): void {
		this.#reports.delete(reporter);
	}

	/** Removes the reports that exceed the maximum age. */
	removeStale(): void {
		const now = this.#options.clock.getMonotonicTime();
		for (const [reporter, {receivedAt}] of this.#reports) {
			if (now - receivedAt > this.#options.maxAgeMs) {
				this.#reports.delete(reporter);
			}
		}
	}

	#createOwnMembers(ownStatus: MemberStatus): readonly ReportedMember[] {
		const {self, getAddress, table} = this.#options;
		const local = table.getRecords().filter(({incarnation}) => incarnation.dataCenter === self.dataCenter);
		return [
			{
				id: self.id, vm: self.vm, address: getAddress(), state: 'up', ...ownStatus,
			},
			...local.map(({incarnation, address: memberAddress, state, isLeaving, configurationVersion, claims, cores}): ReportedMember => ({
				id: incarnation.id, vm: incarnation.vm, address: memberAddress, state, isLeaving, configurationVersion, claims, cores,
			})),
		];
	}
}
